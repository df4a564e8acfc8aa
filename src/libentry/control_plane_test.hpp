#pragma once

#include "control_plane.hpp"

namespace monsoondock::entry::pvt {

inline settings::socket_address test_address(std::uint16_t port)
{
    settings::socket_address a;
    a.ip_ = "127.0.0.1";
    a.port_ = port;
    return a;
}


inline settings::entry_config make_test_config()
{
    settings::entry_config config;
    config.daemon_ = {"a"};
    config.data_centre_ = {"dc"};
    config.caller_address_ = test_address(1);
    config.peer_address_ = test_address(2);
    config.platform_address_ = test_address(3);
    return config;
}


inline platform_adapter make_test_adapter()
{
    platform_adapter adapter;
    adapter.store_ = &platform::native_dialect();
    return adapter;
}


/// Control plane of a daemon that has no store, peers or callers, and whose
/// loops do not run.
struct test_control_plane
{
    test_control_plane()
    {
        control_.proxy_ = std::make_unique<relay::reverse_proxy>(
            relay::proxy_config{}, relay::proxy_callbacks{}, metrics_);
    }

    settings::entry_config config_ = make_test_config();
    platform_adapter adapter_ = make_test_adapter();
    metrics::registry metrics_;
    control_plane control_{config_, adapter_, metrics_};
};

} // namespace monsoondock::entry::pvt
