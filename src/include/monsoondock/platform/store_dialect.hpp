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


/// One page of a list. The next page begins after the key in after_.
struct listing_page
{
    listing part_;
    /// Key of the last object of the page when more follow, else empty.
    std::string after_;
};


/// How an object API spells the calls of http_client. The functions only
/// translate: they never decide whether or when a call is made.
struct store_dialect
{
    /// Builds the call that reads one object.
    http_request (*get_)(std::string_view key);
    /// Builds the call that reads the page of a list that begins after a key.
    http_request (*list_)(std::string_view prefix, std::string_view after);
    /// Builds a conditional write of JSON text.
    http_request (*put_)(
        std::string_view key,
        std::string_view value,
        write_condition condition);
    /// Builds a conditional delete.
    http_request (*erase_)(std::string_view key, version expected);
    /// Builds a watch of the changes after a version.
    http_request (*watch_)(
        std::string_view prefix, version from, std::chrono::milliseconds wait);
    /// Reads the answer to a get. Problem code corrupt: it has another form.
    base::result<object> (*read_object_)(
        std::string_view key, std::string_view body);
    /// Reads the answer to a list.
    base::result<listing_page> (*read_listing_)(
        std::string_view prefix, std::string_view body);
    /// Reads the answer to a watch.
    base::result<change_batch> (*read_changes_)(
        std::string_view prefix, std::string_view body);
    /// Reads the version from the answer to a write.
    base::result<version> (*read_version_)(std::string_view body);
    /// Status by which a write is told that its condition does not hold.
    boost::beast::http::status conflict_;
};


/// Returns the dialect of the project's own object API, which the stand-in
/// speaks (docs/architecture.md).
const store_dialect& native_dialect();

} // namespace monsoondock::platform
