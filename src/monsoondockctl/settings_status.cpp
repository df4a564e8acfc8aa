#include "command.hpp"
#include "current_tree.hpp"
#include "daemon_call.hpp"
#include "failure.hpp"
#include "print.hpp"

#include <boost/json.hpp>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

struct daemon_entry
{
    std::string daemon_;
    std::string address_;
};


base::result<std::vector<daemon_entry>> read_daemons(platform_session& session)
{
    const std::string prefix = "daemons/";
    const auto listing = session.list(prefix);
    if (!base::ok(listing))
        return base::error(listing);
    std::vector<daemon_entry> entries;
    for (const auto& object : base::value(listing).objects_) {
        daemon_entry entry{object.key_.substr(prefix.size()), {}};
        boost::system::error_code error;
        const json::value parsed = json::parse(object.value_, error);
        const json::object* fields = parsed.if_object();
        const json::value* address =
            fields != nullptr ? fields->if_contains("caller_address") : nullptr;
        if (address != nullptr && address->is_string())
            entry.address_ = std::string(address->get_string());
        entries.push_back(std::move(entry));
    }
    return entries;
}


/// Returns the revision that a daemon has in force, or nothing.
std::optional<std::uint64_t>
ask(const daemon_entry& entry, std::chrono::milliseconds timeout)
{
    const auto address = settings::parse_socket_address(entry.address_);
    if (!address)
        return std::nullopt;
    const auto answer = get_from_daemon(*address, "/admin/settings", timeout);
    if (!base::ok(answer) || !base::value(answer).is_object())
        return std::nullopt;
    const json::value* revision =
        base::value(answer).get_object().if_contains("in_force");
    if (revision == nullptr || !revision->is_int64())
        return std::nullopt;
    return static_cast<std::uint64_t>(revision->get_int64());
}


json::object
row_of(const daemon_entry& entry, std::uint64_t accepted, const options& o)
{
    const auto in_force = ask(entry, o.timeout_);
    const char* state = "not answering";
    if (in_force)
        state = *in_force >= accepted ? "in force" : "behind";
    return {
        {"daemon", entry.daemon_},
        {"address", entry.address_},
        {"in_force", in_force ? json::value(*in_force) : json::value(nullptr)},
        {"state", state}};
}

} // namespace

exit_code settings_status(const request& r)
{
    if (const auto missing = check_platform(r.options_))
        return fail(*missing);
    platform_session session(r.options_);
    const auto head = read_head(session);
    if (!base::ok(head))
        return fail(base::error(head));
    const auto daemons = read_daemons(session);
    if (!base::ok(daemons))
        return fail(base::error(daemons));
    const std::uint64_t accepted = base::value(head).revision_.value_;
    json::array rows;
    std::size_t missing_count = 0;
    for (const daemon_entry& entry : base::value(daemons)) {
        rows.push_back(row_of(entry, accepted, r.options_));
        if (rows.back().at("state") != "in force")
            ++missing_count;
    }
    print(
        json::object{{"accepted", accepted}, {"daemons", std::move(rows)}},
        r.options_.output_);
    if (missing_count == 0)
        return exit_code::ok;
    return fail(
        exit_code::failed,
        "the accepted revision is not in force on " +
            std::to_string(missing_count) + " of " +
            std::to_string(base::value(daemons).size()) + " daemons",
        "look at the daemons named above");
}

} // namespace monsoondockctl
