#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/settings/admission_sizes.hpp>
#include <monsoondock/settings/daemon_timeouts.hpp>
#include <monsoondock/settings/finding.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::settings {

/// Configuration file of one daemon: what it needs before it can reach the
/// platform. All other settings come from the settings tree.
struct daemon_config
{
    base::daemon_id daemon_;
    base::region_id region_;
    base::data_centre_id data_centre_;
    /// Address that callers connect to (TCP).
    socket_address caller_address_;
    /// Address that other daemons send to (UDP and TCP on the same port).
    socket_address peer_address_;
    /// Addresses of the platform, tried in turn.
    std::vector<socket_address> platform_addresses_;
    /// Peer addresses of daemons to join through when the platform can't be
    /// reached; may be empty.
    std::vector<socket_address> peer_seeds_;
    /// File with the secret that authenticates messages between daemons. A
    /// relative path is resolved against the folder of the configuration
    /// file.
    std::filesystem::path peer_secret_file_;
    /// Content of that file without trailing white space.
    std::string peer_secret_;
    /// Number of threads that handle requests.
    std::uint64_t traffic_threads_ = 0;
    admission_sizes admission_;
    daemon_timeouts timeouts_;
};


/// Reads the TOML file at path and the secret file that it names. Every key
/// is checked, and all faults found are returned together.
checked<daemon_config> load_daemon_config(const std::filesystem::path& path);


/// Parses text as the content of a configuration file. file names it in the
/// faults; the secret file is not read.
checked<daemon_config>
parse_daemon_config(std::string_view text, std::string_view file);

} // namespace monsoondock::settings
