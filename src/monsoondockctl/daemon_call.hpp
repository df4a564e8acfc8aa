#pragma once

#include "options.hpp"

#include <monsoondock/base/result.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace monsoondockctl {

/// Sends GET target to a daemon and returns the JSON body of its answer.
/// Problems: unavailable when there is no answer within timeout, internal for
/// any status but 200, corrupt when the body is not JSON. A bearer token that
/// is not empty is sent in the Authorization header.
monsoondock::base::result<boost::json::value> get_from_daemon(
    const monsoondock::settings::socket_address& daemon,
    const std::string& target,
    std::chrono::milliseconds timeout,
    const std::string& bearer = {});


/// Sends GET target to several daemons concurrently; returns the answers in the
/// order of daemons.
std::vector<monsoondock::base::result<boost::json::value>> get_from_daemons(
    const std::vector<monsoondock::settings::socket_address>& daemons,
    const std::string& target,
    std::chrono::milliseconds timeout);


/// Sends GET target to the daemon of --daemon, with the timeout of --timeout.
monsoondock::base::result<boost::json::value> get_from_daemon(
    const options& o,
    const std::string& target,
    const std::string& bearer = {});


/// Returns text percent-encoded as the value of a URL query parameter.
std::string percent_encode(const std::string& text);

} // namespace monsoondockctl
