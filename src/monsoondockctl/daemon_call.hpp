#pragma once

#include "options.hpp"

#include <monsoondock/base/result.hpp>
#include <monsoondock/settings/socket_address.hpp>

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace monsoondockctl {

/// Sends GET target to a daemon and returns the JSON of its answer. Problem
/// unavailable: no answer within timeout; failed statuses are problems too.
monsoondock::base::result<boost::json::value> get_from_daemon(
    const monsoondock::settings::socket_address& daemon,
    const std::string& target,
    std::chrono::milliseconds timeout,
    const std::string& bearer = {});


/// Sends GET target to several daemons at the same time; answers in their
/// order.
std::vector<monsoondock::base::result<boost::json::value>> get_from_daemons(
    const std::vector<monsoondock::settings::socket_address>& daemons,
    const std::string& target,
    std::chrono::milliseconds timeout);


/// Like the first function above, for the daemon of --daemon.
monsoondock::base::result<boost::json::value> get_from_daemon(
    const options& o,
    const std::string& target,
    const std::string& bearer = {});


/// Returns text for use as the value of a query.
std::string percent_encode(const std::string& text);

} // namespace monsoondockctl
