#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// Limit on sends beyond the first of each request.
struct retry_settings
{
    /// Repeats allowed for each request in the window.
    double ratio_ = 0;
    /// Repeats allowed on top, over all daemons together.
    std::uint64_t slack_ = 0;
    std::chrono::milliseconds window_{0};
};


/// What an entry daemon learns from its file: where it listens, where its
/// peers and the platform are, and the bounds it keeps. Routes, keys and hosts
/// come from the platform.
struct entry_config
{
    base::daemon_id daemon_;
    base::region_id region_;
    base::data_centre_id data_centre_;
    /// Address that callers connect to (TCP).
    socket_address caller_address_;
    /// Address that tells whether the daemon is ready (TCP).
    socket_address ready_address_;
    /// Address that tells callers which daemons to use (TCP).
    socket_address directory_address_;
    /// Address for other daemons (UDP and TCP, the same number).
    socket_address peer_address_;
    /// Address that serves metrics as text (TCP).
    socket_address metrics_address_;
    /// Addresses on hosts of other daemons; only their IP numbers are used,
    /// with the port of peer_address.
    std::vector<socket_address> seed_hosts_;
    socket_address platform_address_;
    /// True only when the whole system starts for the first time.
    bool first_start_ = false;
    /// Most connections of callers at once.
    std::uint64_t max_connections_ = 0;
    /// From SIGTERM until the process is killed.
    std::chrono::milliseconds grace_{0};
    /// How long callers keep an answer of the directory.
    std::chrono::milliseconds directory_ttl_{0};
    retry_settings retries_;
};


/// Reads the TOML file at path. Every key is checked, and all faults found
/// are returned together.
checked<entry_config> load_entry_config(const std::filesystem::path& path);


/// Checks text as the content of a settings file; file names it in the faults.
checked<entry_config>
parse_entry_config(std::string_view text, std::string_view file);

} // namespace monsoondock::settings
