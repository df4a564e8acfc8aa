#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <map>
#include <string>

namespace monsoondock::admission {

/// What the workspaces of one model have asked for and got lately at this
/// daemon, as exponentially decaying numbers of requests. Each request counts
/// the same, whatever its size.
class workspace_shares
{
public:
    /// Time constant by which shares are compared. A share that a workspace
    /// does not use is lent to others, and is its own again after this time.
    static constexpr std::chrono::milliseconds time_constant{1000};
    /// Time constant of the part of its requests that a workspace has got.
    static constexpr std::chrono::milliseconds served_time_constant{10000};
    /// A workspace that has got less than this part of what all have got, each
    /// measured by what it asked for, is not over its share. The rule of the
    /// users' platform is a quarter.
    static constexpr double min_served_ratio = 0.35;


    /// Sets the weight of a workspace, which must be positive. The default is
    /// 1.
    void set_weight(const std::string& workspace, double weight);


    /// Records a request and whether it was admitted. Times must not decrease
    /// between calls.
    void
    record(const std::string& workspace, bool admitted, base::time_point now);


    /// Returns true when a workspace has got more than its share of what all
    /// have got. Shares are in proportion to the weights; what a workspace does
    /// not ask for is divided among the others. Nobody is over its share as
    /// long as all requests are admitted.
    bool
    is_over_share(const std::string& workspace, base::time_point now) const;

private:
    struct usage
    {
        // Over time_constant.
        double asked_ = 0;
        double got_ = 0;
        // Over served_time_constant.
        double asked_long_ = 0;
        double got_long_ = 0;
        base::time_point updated_at_;
    };

    static usage decayed(const usage& u, base::time_point now);
    double weight_of(const std::string& workspace) const;

    std::map<std::string, usage> usage_;
    std::map<std::string, double> weights_;
};

} // namespace monsoondock::admission
