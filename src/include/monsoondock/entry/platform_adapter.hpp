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

/// Query of a caller to the directory, which lists the entry daemons that the
/// caller may connect to.
struct directory_query
{
    /// Host name that the caller wants to reach.
    std::string host_name_;
    /// Region of the caller.
    base::region_id region_;
    /// Data centre of the caller; daemons there are preferred.
    base::data_centre_id data_centre_;
};


/// Interface between an entry daemon and the platform that it runs on: the
/// names and formats that the platform uses in its store, in HTTP headers, in
/// orders to hosts and in directory calls. The functions only parse and
/// serialize; they make no decisions. Every member must be set.
struct platform_adapter
{
    /// Object API of the platform's store.
    const platform::store_dialect* store_ = nullptr;
    /// Names of the HTTP header fields.
    relay::header_names headers_;
    /// Key of the configuration in the store, and the prefix under which it is
    /// listed and watched.
    std::string catalog_key_;
    std::string catalog_prefix_;
    /// Prefix of the store keys under which upstream hosts register.
    std::string hosts_prefix_;
    /// Prefix of the store keys of evacuations; the rest of a key is the name
    /// of the data centre.
    std::string evacuations_prefix_;
    /// HTTP paths that the daemon serves for readiness and for the directory.
    std::string ready_path_;
    std::string directory_path_;
    /// HTTP path on an upstream host that accepts orders.
    std::string orders_path_;

    /// Parses the configuration. Problem code corrupt: a field is missing or
    /// has the wrong type.
    base::result<catalog::catalog> (*parse_catalog_)(std::string_view text);
    /// Parses the store entry of a host. Problem code corrupt: the entry does
    /// not describe a usable host.
    base::result<fleet::host_info> (*parse_host_)(
        std::string_view id, std::string_view text);
    /// Returns the HTTP body of an order.
    std::string (*serialize_order_)(const placement::order& o);
    /// Returns the outcome that an HTTP status means for an order.
    placement::order_outcome (*order_outcome_from_status_)(unsigned status);
    /// Parses the request target of a directory call.
    directory_query (*parse_directory_query_)(std::string_view target);
    /// Returns the HTTP body of a directory response. Addresses have the form
    /// "ip:port"; callers may cache the response for ttl.
    std::string (*serialize_directory_response_)(
        const std::vector<std::string>& addresses,
        std::chrono::milliseconds ttl);
};

} // namespace monsoondock::entry
