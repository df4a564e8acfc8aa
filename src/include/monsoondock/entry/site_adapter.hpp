#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/catalog/catalog.hpp>
#include <monsoondock/fleet/host_info.hpp>
#include <monsoondock/placement/order.hpp>
#include <monsoondock/platform/store_dialect.hpp>
#include <monsoondock/relay/header_names.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::entry {

/// What a caller asks the directory.
struct directory_question
{
    /// Host name that the caller wants to reach.
    std::string host_name_;
    base::region_id region_;
    base::data_centre_id data_centre_;
};


/// How the place where monsoondock runs spells what the daemon reads and
/// writes. The functions translate and never decide.
struct site_adapter
{
    /// Object API of the platform's store.
    const platform::store_dialect* store_ = nullptr;
    relay::header_names headers_;
    /// Key of the accepted configuration in the store, and the prefix under
    /// which it is listed.
    std::string catalog_key_;
    std::string catalog_prefix_;
    /// Prefix of the entries of upstream hosts.
    std::string hosts_prefix_;
    /// Paths of the daemon's own interfaces.
    std::string ready_path_;
    std::string directory_path_;
    /// Path of orders at an engine's host.
    std::string orders_path_;

    /// Reads a configuration. Problem code corrupt: it has another form.
    base::result<catalog::catalog> (*read_catalog_)(std::string_view text);
    /// Reads a host's entry. Problem code corrupt: it names no host to use.
    base::result<fleet::host_info> (*read_host_)(
        std::string_view id, std::string_view text);
    /// Returns the body of an order.
    std::string (*write_order_)(const placement::order& o);
    /// Returns what the status of an answer to an order means.
    placement::order_outcome (*read_order_answer_)(unsigned status);
    /// Reads the target of a call to the directory.
    directory_question (*read_question_)(std::string_view target);
    /// Returns the directory's answer: addresses as "ip:port".
    std::string (*write_directory_)(
        const std::vector<std::string>& addresses,
        std::chrono::milliseconds ttl);
};

} // namespace monsoondock::entry
