#include "client_state.hpp"

#include "refusal.hpp"
#include "requests.hpp"

#include <monsoondock/load/answer_check.hpp>

namespace monsoondock::load::pvt {

namespace asio = boost::asio;

namespace {

constexpr int OK = 200;


/// Queries the daemons in order until one returns a list of entry hosts.
asio::awaitable<void> refresh_entry_list(client_state& s, std::size_t workspace)
{
    const request q = make_entry_request(s.options_.workspaces_[workspace]);
    for (const std::string& address : s.options_.entry_hosts_) {
        const send_outcome result =
            co_await send(s.pool_, address, q, true, s.options_.timeout_);
        const auto* answer = std::get_if<raw_answer>(&result);
        if (!answer || answer->status_ != OK)
            continue;
        const auto now = base::boot_clock::now();
        const auto list = parse_entry_list(answer->body_, now);
        if (!list || list->addresses_.empty())
            continue;
        s.entry_lists_[workspace] = *list;
        co_return;
    }
}


asio::awaitable<std::vector<std::string>>
entry_hosts(client_state& s, std::size_t workspace)
{
    if (s.entry_lists_[workspace].expires_at_ <= base::boot_clock::now())
        co_await refresh_entry_list(s, workspace);
    co_return s.entry_lists_[workspace].addresses_;
}


difference check(const arrival& a, const std::string& body)
{
    if (a.class_ == request_class::call)
        return check_call(a, body);
    return check_completion(a, body);
}


outcome classify_answer(
    const arrival& a, const raw_answer& answer, base::time_point due)
{
    const auto total = answer.last_byte_at_ - due;
    if (answer.status_ != OK)
        return read_refusal(answer, total);
    if (const difference d = check(a, answer.body_))
        return wrong_answer{*d};
    return completed{
        answer.first_byte_at_ - due, total, answer.longest_gap_, a.max_tokens_};
}


/// Sends q to the first host that accepts a connection.
asio::awaitable<send_outcome> send_to_first_reachable(
    client_state& s,
    const std::vector<std::string>& hosts,
    const request& q,
    bool retryable)
{
    for (const std::string& host : hosts) {
        send_outcome result =
            co_await send(s.pool_, host, q, retryable, s.options_.timeout_);
        if (!std::holds_alternative<unreachable>(result))
            co_return result;
    }
    co_return unreachable{};
}


/// Sends a completed call again, trying the hosts in reverse order. A repeat
/// that succeeds must return the same answer.
asio::awaitable<outcome> resend_and_compare(
    client_state& s,
    const std::vector<std::string>& hosts,
    const request& q,
    const std::string& body,
    outcome first)
{
    const std::vector<std::string> reversed(hosts.rbegin(), hosts.rend());
    const send_outcome result =
        co_await send_to_first_reachable(s, reversed, q, false);
    const auto* answer = std::get_if<raw_answer>(&result);
    if (answer && answer->status_ == OK && answer->body_ != body)
        co_return wrong_answer{"repeated call got a different answer"};
    co_return first;
}

} // namespace

asio::awaitable<outcome>
send_arrival(client_state& s, const arrival& a, base::time_point due)
{
    const auto hosts = co_await entry_hosts(s, a.workspace_index_);
    const request q = make_request(s.options_, a);
    const bool retryable = a.class_ != request_class::call;
    const send_outcome result =
        co_await send_to_first_reachable(s, hosts, q, retryable);
    if (std::holds_alternative<unreachable>(result))
        co_return transport_failure{"no entry host reachable"};
    if (const auto* failure = std::get_if<transport_failure>(&result))
        co_return *failure;
    const raw_answer& answer = std::get<raw_answer>(result);
    outcome classified = classify_answer(a, answer, due);
    if (!a.repeated_ || !std::holds_alternative<completed>(classified))
        co_return classified;
    co_return co_await resend_and_compare(
        s, hosts, q, answer.body_, classified);
}

} // namespace monsoondock::load::pvt
