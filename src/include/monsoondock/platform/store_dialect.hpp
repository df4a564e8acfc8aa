#pragma once

#include <monsoondock/base/result.hpp>
#include <monsoondock/platform/change.hpp>
#include <monsoondock/platform/listing.hpp>
#include <monsoondock/platform/write_condition.hpp>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace monsoondock::platform {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;


/// One page of a paginated list response.
struct listing_page
{
    listing part_;
    /// Key after which the next page starts; empty on the last page.
    std::string after_;
};


/// Wire format of an object API: functions that build the HTTP requests of
/// http_client and parse the responses. Implement it to use another object
/// store. Connections, retries and time-outs stay in http_client.
struct store_dialect
{
    /// Builds the request that reads one object.
    http_request (*get_)(std::string_view key);
    /// Builds the request for the page of a list that starts after a key.
    http_request (*list_)(std::string_view prefix, std::string_view after);
    /// Builds the request for a conditional write of JSON text.
    http_request (*put_)(
        std::string_view key,
        std::string_view value,
        write_condition condition);
    /// Builds the request for a conditional delete.
    http_request (*erase_)(std::string_view key, version expected);
    /// Builds the request that waits for changes after a version.
    http_request (*watch_)(
        std::string_view prefix, version from, std::chrono::milliseconds wait);
    /// Parses the response to a get. Problem code corrupt, here and below: the
    /// body is malformed.
    base::result<object> (*read_object_)(
        std::string_view key, std::string_view body);
    /// Parses the response to a list.
    base::result<listing_page> (*read_listing_)(
        std::string_view prefix, std::string_view body);
    /// Parses the response to a watch.
    base::result<change_batch> (*read_changes_)(
        std::string_view prefix, std::string_view body);
    /// Parses the version from the response to a write.
    base::result<version> (*read_version_)(std::string_view body);
    /// HTTP status of a write whose condition does not hold.
    boost::beast::http::status conflict_;
    /// Header field with the era of the store; see version.
    std::string_view era_header_;
};


/// Returns the dialect of the project's own object API, as implemented by the
/// platform stand-in (docs/architecture.md).
const store_dialect& native_dialect();

} // namespace monsoondock::platform
