#include "accept_edit.hpp"

#include "failure.hpp"
#include "print.hpp"
#include "prune_settings.hpp"

#include <monsoondock/settings/acceptance.hpp>

#include <boost/json.hpp>

#include <deque>
#include <iostream>
#include <random>
#include <thread>

namespace monsoondockctl {

namespace json = boost::json;
namespace base = monsoondock::base;
namespace settings = monsoondock::settings;

namespace {

std::string random_token()
{
    std::random_device source;
    std::string token;
    for (int i = 0; i < 4; ++i)
        token += std::to_string(source()) + (i < 3 ? "-" : "");
    return token;
}


settings::store_answer
execute_call(platform_session& session, const settings::store_call& call)
{
    std::this_thread::sleep_for(call.delay_);
    const std::string& key = key_of(call);
    if (const auto* write = std::get_if<settings::write_object>(&call.what_))
        return settings::write_finished{
            key, session.put(key, write->value_, write->condition_)};
    auto read = session.get(key);
    if (!base::ok(read))
        return settings::read_failed{key};
    return settings::object_read{key, base::value(std::move(read))};
}


settings::acceptance_outcome
run_acceptance(platform_session& session, settings::settings_edit edit)
{
    settings::acceptance a(std::move(edit));
    const auto first = a.start();
    std::deque<settings::store_call> calls{first.begin(), first.end()};
    while (!a.outcome()) {
        const settings::store_call call = std::move(calls.front());
        calls.pop_front();
        for (settings::store_call& next :
             a.on_answer(execute_call(session, call)))
            calls.push_back(std::move(next));
    }
    return *a.outcome();
}


/// Prints an outcome and returns its exit code.
struct outcome_printer
{
    const options& options_;


    exit_code operator()(const settings::accepted& outcome) const
    {
        return print_outcome("accepted", outcome.revision_);
    }


    exit_code operator()(const settings::unchanged& outcome) const
    {
        return print_outcome("unchanged", outcome.revision_);
    }


    exit_code operator()(const settings::edit_conflict& outcome) const
    {
        for (const auto& conflict : outcome.conflicts_)
            std::cerr << to_string(conflict) << "\n";
        return fail(
            exit_code::conflict,
            "revision " + std::to_string(outcome.revision_.value_) +
                " has different values",
            "check `settings diff` or `settings get` and edit again");
    }


    exit_code operator()(const settings::invalid_edit& outcome) const
    {
        return fail(outcome.faults_);
    }


    exit_code operator()(const settings::not_accepted& outcome) const
    {
        return fail(
            exit_code::unavailable,
            "the edit was not accepted: " + outcome.reason_,
            "no settings were changed; try again");
    }


    exit_code operator()(const settings::acceptance_unknown& outcome) const
    {
        return fail(
            exit_code::unavailable,
            "it is unknown whether the edit was accepted: " + outcome.reason_,
            "check `settings history` before trying again");
    }


    exit_code print_outcome(const char* what, settings::revision at) const
    {
        print(
            json::object{{"outcome", what}, {"revision", at.value_}},
            options_.output_);
        return exit_code::ok;
    }
};

} // namespace

exit_code accept_edit(
    platform_session& session,
    const options& o,
    const std::vector<settings::tree_change>& changes)
{
    settings::settings_edit edit{changes, o.author_, o.note_, random_token()};
    const settings::acceptance_outcome outcome =
        run_acceptance(session, std::move(edit));
    if (std::holds_alternative<settings::accepted>(outcome))
        prune_settings(session);
    return std::visit(outcome_printer{o}, outcome);
}

} // namespace monsoondockctl
