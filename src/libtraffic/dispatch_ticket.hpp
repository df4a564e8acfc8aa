#pragma once

#include <monsoondock/traffic/upstream_load.hpp>

#include <memory>
#include <utility>

namespace monsoondock::traffic::pvt {

/// Counts a request as in progress at an upstream for as long as it lives.
class dispatch_ticket
{
public:
    explicit dispatch_ticket(std::shared_ptr<upstream_load> load)
        : load_(std::move(load))
    {
        ++load_->in_flight_;
    }

    dispatch_ticket(const dispatch_ticket&) = delete;
    dispatch_ticket& operator=(const dispatch_ticket&) = delete;

    ~dispatch_ticket()
    {
        --load_->in_flight_;
    }

private:
    std::shared_ptr<upstream_load> load_;
};

} // namespace monsoondock::traffic::pvt
