#pragma once

#include <monsoondock/base/identifier.hpp>
#include <monsoondock/base/result.hpp>
#include <monsoondock/membership/incarnation.hpp>

#include <string>
#include <string_view>

namespace monsoondock::daemon {

/// Registration of a daemon: value of the object `daemons/<daemon>` in the
/// platform's store.
struct daemon_record
{
    std::string caller_address_;
    std::string peer_address_;
    base::data_centre_id data_centre_;
    base::region_id region_;
    membership::incarnation incarnation_;
};


/// Returns the JSON text of a record.
std::string to_json(const daemon_record& record);


/// Parses the JSON text of a record. Fails with problem code corrupt when it is
/// malformed.
base::result<daemon_record> parse_daemon_record(std::string_view json_text);

} // namespace monsoondock::daemon
