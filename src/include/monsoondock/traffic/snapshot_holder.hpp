#pragma once

#include <monsoondock/traffic/routing_snapshot.hpp>

#include <atomic>
#include <memory>

namespace monsoondock::traffic {

/// Holds the current snapshot, published by the control thread and read by the
/// traffic threads. Thread-safe.
class snapshot_holder
{
public:
    snapshot_holder() : current_(std::make_shared<routing_snapshot>()) {}


    /// Returns the latest snapshot; never null.
    std::shared_ptr<const routing_snapshot> get() const
    {
        return current_.load();
    }


    void publish(std::shared_ptr<const routing_snapshot> next)
    {
        current_.store(std::move(next));
    }

private:
    std::atomic<std::shared_ptr<const routing_snapshot>> current_;
};

} // namespace monsoondock::traffic
