#include "acceptance_machine.hpp"

#include <monsoondock/settings/acceptance.hpp>
#include <monsoondock/settings/node_codec.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::settings {

struct acceptance::impl
{
    pvt::acceptance_run run_;
    pvt::acceptance_machine machine_{run_};
};

namespace {

constexpr std::uint32_t MAX_DELAY_DOUBLINGS = 6;


bool is_read(const store_call& call)
{
    return std::holds_alternative<read_object>(call.what_);
}


void end_as_invalid(pvt::acceptance_machine& m, findings faults)
{
    m.run().outcome_ = invalid_edit{std::move(faults)};
}


/// Retries a call after a delay, or ends the edit after too many failures.
void retry_call(pvt::acceptance_machine& m, const store_call& call)
{
    pvt::acceptance_run& run = m.run();
    ++run.failures_;
    if (run.failures_ > run.options_.max_failures_) {
        const std::string reason =
            "no answer from the store for " + key_of(call);
        if (run.head_in_doubt_)
            run.outcome_ = acceptance_unknown{reason};
        else
            run.outcome_ = not_accepted{reason};
        return;
    }
    store_call again = call;
    const std::uint32_t doublings =
        std::min(run.failures_ - 1, MAX_DELAY_DOUBLINGS);
    again.delay_ = run.options_.first_delay_ * (1U << doublings);
    pvt::request_call(run, std::move(again));
}


void on_head_read(
    pvt::acceptance_machine& m, const std::optional<platform::object>& object)
{
    checked<pvt::head_state> state = pvt::read_head(object);
    if (auto* faults = std::get_if<findings>(&state))
        end_as_invalid(m, std::move(*faults));
    else
        m.process_event(
            pvt::head_read{std::get<pvt::head_state>(std::move(state))});
}


void on_index_read(pvt::acceptance_machine& m, const std::string& text)
{
    checked<settings_index> index = parse_index_json(text);
    if (auto* faults = std::get_if<findings>(&index))
        end_as_invalid(m, std::move(*faults));
    else
        m.process_event(
            pvt::index_read{std::get<settings_index>(std::move(index))});
}


void on_node_read(pvt::acceptance_machine& m, const std::string& text)
{
    checked<settings_node> node = parse_node_json(text);
    if (auto* faults = std::get_if<findings>(&node))
        end_as_invalid(m, std::move(*faults));
    else
        m.process_event(
            pvt::node_read{std::get<settings_node>(std::move(node))});
}


void on_object_read(
    pvt::acceptance_machine& m,
    const std::string& key,
    const std::optional<platform::object>& object)
{
    const std::string text = object ? object->value_ : std::string();
    if (m.run().unwritten_.contains(key))
        m.process_event(pvt::object_read_back{key, text});
    else if (is_index_key(key))
        on_index_read(m, text);
    else
        on_node_read(m, text);
}


void on_read(pvt::acceptance_machine& m, const object_read& answer)
{
    m.run().failures_ = 0;
    if (answer.key_ == HEAD_KEY)
        on_head_read(m, answer.object_);
    else
        on_object_read(m, answer.key_, answer.object_);
}


void on_head_write(
    pvt::acceptance_machine& m,
    const store_call& call,
    const platform::write_outcome& outcome)
{
    if (std::holds_alternative<platform::not_reached>(outcome)) {
        retry_call(m, call);
        return;
    }
    if (std::holds_alternative<platform::written>(outcome)) {
        m.process_event(pvt::head_written{});
        return;
    }
    if (std::holds_alternative<platform::answer_lost>(outcome))
        m.run().head_in_doubt_ = true;
    m.process_event(pvt::head_not_confirmed{
        std::holds_alternative<platform::answer_lost>(outcome)});
}


void on_object_write(
    pvt::acceptance_machine& m,
    const store_call& call,
    const platform::write_outcome& outcome)
{
    // A create is safe to retry: if the first attempt took effect, the retry
    // finds an object with the same text.
    if (std::holds_alternative<platform::written>(outcome))
        m.process_event(pvt::object_written{key_of(call)});
    else if (std::holds_alternative<platform::condition_failed>(outcome))
        m.process_event(pvt::object_key_exists{key_of(call)});
    else
        retry_call(m, call);
}


void on_write(
    pvt::acceptance_machine& m,
    const store_call& call,
    const platform::write_outcome& outcome)
{
    const bool answered =
        std::holds_alternative<platform::written>(outcome) ||
        std::holds_alternative<platform::condition_failed>(outcome);
    if (answered)
        m.run().failures_ = 0;
    if (key_of(call) == HEAD_KEY)
        on_head_write(m, call, outcome);
    else
        on_object_write(m, call, outcome);
}


const std::string& key_of(const store_answer& answer)
{
    return std::visit(
        [](const auto& a) -> const std::string& { return a.key_; }, answer);
}


/// Removes the call that an answer belongs to from the pending ones and
/// returns it.
std::optional<store_call>
take_call(pvt::acceptance_run& run, const store_answer& answer)
{
    const auto open = run.pending_calls_.find(key_of(answer));
    if (open == run.pending_calls_.end())
        return std::nullopt;
    const bool to_write = std::holds_alternative<write_finished>(answer);
    if (is_read(open->second) == to_write)
        return std::nullopt;
    store_call call = std::move(open->second);
    run.pending_calls_.erase(open);
    return call;
}

} // namespace

acceptance::acceptance(settings_edit edit, acceptance_options options)
    : impl_(std::make_unique<impl>())
{
    impl_->run_.edit_ = std::move(edit);
    impl_->run_.options_ = options;
}


acceptance::acceptance(acceptance&&) noexcept = default;
acceptance& acceptance::operator=(acceptance&&) noexcept = default;
acceptance::~acceptance() = default;


std::vector<store_call> acceptance::start()
{
    impl_->machine_.start();
    return std::exchange(impl_->run_.new_calls_, {});
}


std::vector<store_call> acceptance::on_answer(const store_answer& answer)
{
    pvt::acceptance_run& run = impl_->run_;
    const auto call = take_call(run, answer);
    if (!call || run.outcome_)
        return {};
    if (const auto* read = std::get_if<object_read>(&answer))
        on_read(impl_->machine_, *read);
    else if (const auto* write = std::get_if<write_finished>(&answer))
        on_write(impl_->machine_, *call, write->outcome_);
    else
        retry_call(impl_->machine_, *call);
    return std::exchange(run.new_calls_, {});
}


const std::optional<acceptance_outcome>& acceptance::outcome() const
{
    return impl_->run_.outcome_;
}

} // namespace monsoondock::settings
