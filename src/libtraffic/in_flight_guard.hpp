#pragma once

#include <monsoondock/traffic/upstream_load.hpp>

#include <memory>
#include <utility>

namespace monsoondock::traffic::pvt {

/// Counts a request as in progress at an upstream for as long as it lives.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::shared_ptr<upstream_load> load)
        : load_(std::move(load))
    {
        ++load_->in_flight_;
    }

    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

    ~in_flight_guard()
    {
        --load_->in_flight_;
    }

private:
    std::shared_ptr<upstream_load> load_;
};

} // namespace monsoondock::traffic::pvt
