#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/admission_rule.hpp>
#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// Retry budget of the entry daemons.
struct retry_settings
{
    /// Retries allowed for each request within the window.
    double ratio_ = 0;
    /// Additional retries allowed within the window, over all daemons
    /// together. May be a fraction.
    double slack_ = 0;
    /// Length of the sliding window in which requests and retries are counted.
    std::chrono::milliseconds window_{0};
};


/// Configuration file of an entry daemon: its own addresses, those of its peers
/// and of the platform, and its limits. Routes, keys and hosts come from the
/// platform.
struct entry_config
{
    base::daemon_id daemon_;
    base::region_id region_;
    base::data_centre_id data_centre_;
    /// Address that callers connect to (TCP).
    socket_address caller_address_;
    /// Address of the readiness endpoint (TCP).
    socket_address ready_address_;
    /// Address of the directory, which lists the daemons that callers may use
    /// (TCP).
    socket_address directory_address_;
    /// Address that other daemons send to (UDP and TCP on the same port).
    socket_address peer_address_;
    /// Address of the metrics endpoint, in text format (TCP).
    socket_address metrics_address_;
    /// Addresses of hosts with other daemons. Only their IP addresses are
    /// used, with the port of peer_address.
    std::vector<socket_address> seed_hosts_;
    socket_address platform_address_;
    /// Processor capacity of this daemon, in cores. Daemons with more of it are
    /// preferred as leader and as relays.
    double processor_cores_ = 0;
    /// True only for the very first start of the whole system.
    bool first_start_ = false;
    /// Maximum number of open caller connections.
    std::uint64_t max_connections_ = 0;
    /// Time from SIGTERM until the process is killed.
    std::chrono::milliseconds grace_{0};
    /// Time for which a host may still get requests after the platform has
    /// shown that it is leaving.
    std::chrono::milliseconds drain_time_{0};
    /// Time for which callers cache a response of the directory.
    std::chrono::milliseconds directory_ttl_{0};
    /// True when the platform's store has entries that request the evacuation
    /// of data centres, which are to be followed.
    bool evacuations_ = false;
    retry_settings retries_;
    admission_rule admission_ = admission_rule::queue;
    /// True when requests are distributed by the pace and the capacity of
    /// upstreams as learned from their responses.
    bool learned_capacity_ = false;
};


/// Reads the TOML file at path. Every key is checked, and all faults found
/// are returned together.
checked<entry_config> load_entry_config(const std::filesystem::path& path);


/// Parses text as the content of a configuration file. file names it in the
/// faults.
checked<entry_config>
parse_entry_config(std::string_view text, std::string_view file);

} // namespace monsoondock::settings
