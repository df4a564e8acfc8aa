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


/// Returns the revision in force from a daemon's answer, or nothing without a
/// valid answer.
std::optional<std::uint64_t>
revision_in_force(const base::result<json::value>& answer)
{
    if (!base::ok(answer) || !base::value(answer).is_object())
        return std::nullopt;
    const json::value* revision =
        base::value(answer).get_object().if_contains("in_force");
    if (revision == nullptr || !revision->is_int64())
        return std::nullopt;
    return static_cast<std::uint64_t>(revision->get_int64());
}


/// Queries all daemons concurrently. A daemon without a valid address counts as
/// not answering.
std::vector<std::optional<std::uint64_t>> query_daemons(
    const std::vector<daemon_entry>& entries, std::chrono::milliseconds timeout)
{
    std::vector<settings::socket_address> addresses;
    std::vector<std::size_t> positions;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto address =
            settings::parse_socket_address(entries[i].address_);
        if (!address)
            continue;
        addresses.push_back(*address);
        positions.push_back(i);
    }
    const auto answers =
        get_from_daemons(addresses, "/admin/settings", timeout);
    std::vector<std::optional<std::uint64_t>> revisions(entries.size());
    for (std::size_t i = 0; i < answers.size(); ++i)
        revisions[positions[i]] = revision_in_force(answers[i]);
    return revisions;
}


json::object row_of(
    const daemon_entry& entry,
    std::uint64_t accepted,
    std::optional<std::uint64_t> in_force)
{
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

exit_code settings_status(const command_input& input)
{
    if (const auto missing = check_platform(input.options_))
        return fail(*missing);
    platform_session session(input.options_);
    const auto head = read_head(session);
    if (!base::ok(head))
        return fail(base::error(head));
    const auto daemons = read_daemons(session);
    if (!base::ok(daemons))
        return fail(base::error(daemons));
    const std::uint64_t accepted = base::value(head).revision_.value_;
    json::array rows;
    std::size_t not_in_force_count = 0;
    const auto& entries = base::value(daemons);
    const auto revisions = query_daemons(entries, input.options_.timeout_);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        rows.push_back(row_of(entries[i], accepted, revisions[i]));
        if (rows.back().at("state") != "in force")
            ++not_in_force_count;
    }
    print(
        json::object{{"accepted", accepted}, {"daemons", std::move(rows)}},
        input.options_.output_);
    if (not_in_force_count == 0)
        return exit_code::ok;
    return fail(
        exit_code::failed,
        "the accepted revision is not in force on " +
            std::to_string(not_in_force_count) + " of " +
            std::to_string(entries.size()) + " daemons",
        "check the daemons listed above");
}

} // namespace monsoondockctl
