#include "claimed_call.hpp"

#include "count_guard.hpp"
#include "service_choice.hpp"
#include "service_exchange.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/claims/call_machine.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include <iomanip>
#include <sstream>

namespace monsoondock::traffic::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using claims::claim_command;
using claims::claim_event;

namespace {

constexpr unsigned http_version_1_1 = 11;
// A claim that takes longer is given up; the caller can retry.
constexpr std::chrono::seconds max_claim_time{10};
constexpr std::chrono::milliseconds host_retry_after{2000};


claims::clock_reading now()
{
    return {
        base::boot_clock::now(),
        std::chrono::floor<std::chrono::milliseconds>(
            std::chrono::system_clock::now())};
}


claims::attempt_token make_token(traffic_thread& thread)
{
    constexpr int digits = 16;
    const auto& self = thread.options_.claims_.self_;
    std::ostringstream text;
    text << self.daemon_ << '/' << self.incarnation_ << '/' << std::hex
         << std::setfill('0') << std::setw(digits) << thread.random_();
    return {text.str()};
}


claims::call describe_call(
    traffic_thread& thread,
    const request_context& context,
    const service_row& service)
{
    const caller_request& request = context.request_;
    const limits& bounds = thread.options_.limits_;
    claims::call c;
    c.key_ = {
        context.workspace_,
        service.deployment_,
        {std::string(request["Idempotency-Key"])}};
    c.fingerprint_ = claims::fingerprint_request(
        request.method_string(), request.target(), request.body());
    c.token_ = make_token(thread);
    c.owner_ = thread.options_.claims_.self_;
    c.deadline_ = context.arrived_ + max_claim_time;
    if (context.deadline_)
        c.deadline_ = std::min(c.deadline_, *context.deadline_);
    const auto hosts = static_cast<int>(service.hosts_.size());
    c.exchange_timeout_ =
        bounds.connect_timeout_ * hosts + bounds.upstream_idle_timeout_;
    c.kept_body_bytes_ = service.max_kept_body_bytes_;
    return c;
}


// Runs the call_machine of one attempt. Each operation that it has started
// holds a shared_ptr to it.
class claimed_call : public std::enable_shared_from_this<claimed_call>
{
public:
    claimed_call(
        traffic_thread& thread,
        const request_context& context,
        const service_row& service,
        std::string path)
        : thread_(thread), context_(context), service_(service),
          path_(std::move(path)),
          call_(describe_call(thread, context, service)), machine_(call_),
          answered_(thread.context_), in_progress_(thread.shared_.requests_)
    {
        answered_.expires_at(asio::steady_timer::time_point::max());
        thread_.shared_.attempts_.add(call_.token_);
    }

    claimed_call(const claimed_call&) = delete;
    claimed_call& operator=(const claimed_call&) = delete;

    ~claimed_call()
    {
        thread_.shared_.attempts_.remove(call_.token_);
    }

    asio::awaitable<claims::caller_answer> run()
    {
        const auto self = shared_from_this();
        execute(machine_.start(now()));
        while (!answer_)
            co_await answered_.async_wait(base::await_tuple);
        co_return *answer_;
    }

    const request_report& report() const
    {
        return context_.report_;
    }

private:
    void process_event(const claim_event& event)
    {
        execute(machine_.process(event, now()));
    }

    void execute(const std::vector<claim_command>& commands)
    {
        for (const claim_command& c : commands)
            std::visit([this](const auto& x) { execute(x); }, c);
    }

    void spawn(asio::awaitable<void> work)
    {
        asio::co_spawn(
            thread_.context_,
            [](std::shared_ptr<claimed_call> /*self*/,
               asio::awaitable<void> w) -> asio::awaitable<void> {
                co_await std::move(w);
            }(shared_from_this(), std::move(work)),
            asio::detached);
    }

    void execute(const claims::create_claim& c)
    {
        spawn(put(c.id_, c.key_, c.value_, platform::if_absent{}));
    }

    void execute(const claims::update_claim& c)
    {
        spawn(put(c.id_, c.key_, c.value_, platform::if_version{c.version_}));
    }

    void execute(const claims::release_claim& c)
    {
        spawn(erase(c.id_, c.key_, c.version_));
    }

    void execute(const claims::read_claim& c)
    {
        spawn(read(c.id_, c.key_));
    }

    void execute(const claims::send_to_upstream& /*c*/)
    {
        spawn(exchange());
    }

    void execute(const claims::answer_caller& c)
    {
        answer_ = c.answer_;
        answered_.cancel();
    }

    void execute(const claims::wake_at& c)
    {
        spawn(tick_at(c.time_));
    }

    asio::awaitable<void>
    put(claims::store_call_id id,
        std::string key,
        std::string value,
        platform::write_condition condition)
    {
        const auto outcome = co_await thread_.store_.put(
            std::move(key), std::move(value), condition);
        log_failure("claim_write", outcome);
        process_event(claims::write_answered{id, outcome});
    }

    asio::awaitable<void>
    erase(claims::store_call_id id, std::string key, platform::version version)
    {
        const auto outcome =
            co_await thread_.store_.erase(std::move(key), version);
        log_failure("claim_release", outcome);
        process_event(claims::write_answered{id, outcome});
    }

    asio::awaitable<void> read(claims::store_call_id id, std::string key)
    {
        const auto found = co_await thread_.store_.get(std::move(key));
        if (!base::ok(found)) {
            process_event(claims::read_failed{id});
            co_return;
        }
        const auto& object = base::value(found);
        auto owner = claims::owner_status::unknown;
        if (object)
            owner = status_of_owner(*object);
        process_event(claims::read_answered{id, object, owner});
    }

    claims::owner_status status_of_owner(const platform::object& object) const
    {
        const auto record = claims::decode_claim(object.value_);
        if (!base::ok(record))
            return claims::owner_status::unknown;
        const auto& owner = base::value(record).owner_;
        bool working = false;
        if (owner.daemon_ == call_.owner_.daemon_)
            working =
                thread_.shared_.attempts_.contains(base::value(record).token_);
        else
            working = is_daemon_live(owner.daemon_);
        return working ? claims::owner_status::working
                       : claims::owner_status::unknown;
    }

    // The incarnation is not compared: a claim left by a daemon that restarted
    // soon becomes overdue.
    bool is_daemon_live(const base::daemon_id& daemon) const
    {
        const auto snapshot = thread_.options_.snapshots_.get();
        const auto& live = snapshot->live_daemons_;
        return std::find(live.begin(), live.end(), daemon) != live.end();
    }

    asio::awaitable<void> tick_at(base::time_point time)
    {
        const auto wait = time - base::boot_clock::now();
        asio::steady_timer timer(thread_.context_, wait);
        co_await timer.async_wait(base::await_tuple);
        process_event(claims::tick{});
    }

    // Tries one host after another while nothing can have been sent.
    asio::awaitable<void> exchange()
    {
        std::vector<base::host_id> tried;
        for (;;) {
            const service_host* host =
                choose_host(service_, tried, base::boot_clock::now());
            if (host == nullptr) {
                process_event(claims::exchange_ended{
                    claims::run_state::unsent, {}, host_retry_after});
                co_return;
            }
            tried.push_back(host->host_);
            context_.report_.upstream_ = host->host_.value_;
            ++context_.report_.attempts_;
            auto result =
                co_await call_service(thread_, context_, *host, path_);
            if (auto* response = std::get_if<buffered_response>(&result)) {
                process_event(to_event(std::move(*response)));
                co_return;
            }
            const run_state state = std::get<call_failure>(result).run_;
            const auto decision = claims::decide_retry(
                state,
                claims::exchange_failure::connect_failed,
                claims::call_semantics::at_most_once);
            if (!decision.may_retry_) {
                process_event(
                    claims::exchange_ended{state, {}, host_retry_after});
                co_return;
            }
        }
    }

    static claim_event to_event(buffered_response response)
    {
        claims::exchange_ended ended;
        ended.state_ = claims::run_state::answered;
        ended.response_.status_ = response.result_int();
        ended.response_.content_type_ =
            std::string(response[http::field::content_type]);
        ended.response_.body_ = std::move(response.body());
        return ended;
    }

    void log_failure(const char* event, const platform::write_outcome& outcome)
    {
        std::string_view reason;
        if (const auto* lost = std::get_if<platform::answer_lost>(&outcome))
            reason = lost->reason_;
        if (const auto* down = std::get_if<platform::not_reached>(&outcome))
            reason = down->reason_;
        if (reason.empty())
            return;
        base::event_line(event, base::severity::warning)
            .field("request", context_.id_)
            .field("workspace", context_.workspace_)
            .field("outcome", "failed")
            .field("reason", reason);
    }

    traffic_thread& thread_;
    request_context context_;
    service_row service_;
    std::string path_;
    claims::call call_;
    claims::call_machine machine_;
    asio::steady_timer answered_;
    count_guard in_progress_;
    std::optional<claims::caller_answer> answer_;
};


buffered_response to_response(const claims::upstream_response& source)
{
    buffered_response response(
        static_cast<http::status>(source.status_), http_version_1_1);
    if (!source.content_type_.empty())
        response.set(http::field::content_type, source.content_type_);
    response.body() = source.body_;
    return response;
}


reply to_reply(const claims::fresh_answer& answer)
{
    return to_response(answer.response_);
}


reply to_reply(const claims::replayed_answer& answer)
{
    auto response = to_response(answer.response_);
    response.set("Idempotency-Replayed", "true");
    return response;
}


run_state to_run_state(claims::execution_status status)
{
    return status == claims::execution_status::not_run ? run_state::unsent
                                                       : run_state::maybe_sent;
}


reply to_reply(const claims::refusal& source)
{
    refusal r;
    r.status_ = static_cast<http::status>(claims::http_status(source.reason_));
    r.type_ = claims::to_string(source.reason_);
    r.detail_ = claims::describe(source);
    r.run_ = to_run_state(source.run_);
    r.key_run_ = to_run_state(source.key_run_);
    if (source.retry_after_.count() > 0)
        r.retry_after_ = source.retry_after_;
    return r;
}

} // namespace

asio::awaitable<reply> serve_claimed_call(
    traffic_thread& thread,
    request_context& context,
    const service_row& service,
    std::string path)
{
    const auto attempt = std::make_shared<claimed_call>(
        thread, context, service, std::move(path));
    const auto answer = co_await attempt->run();
    context.report_ = attempt->report();
    co_return std::visit([](const auto& a) { return to_reply(a); }, answer);
}

} // namespace monsoondock::traffic::pvt
