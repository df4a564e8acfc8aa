#include "caller_session.hpp"
#include "front_thread.hpp"
#include "patience.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/relay/front.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <thread>

namespace monsoondock::relay {

namespace asio = boost::asio;

using pvt::front_thread;

namespace {

constexpr int accept_backlog = 1024;
// Waits so long after a failed accept, so that a lack of file descriptors
// does not turn into a busy loop.
constexpr std::chrono::milliseconds accept_pause{50};
// Progress this recent shows that a peer's doubt is wrong.
constexpr std::chrono::milliseconds recent_progress{80};


asio::awaitable<void> accept_callers(front_thread& t)
{
    asio::steady_timer pause(t.context_);
    for (;;) {
        auto [failure, socket] =
            co_await t.acceptor_.async_accept(base::await_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure) {
            base::event_line("accept_failed", base::severity::warning)
                .field("reason", failure.message());
            pause.expires_after(accept_pause);
            co_await pause.async_wait(base::await_tuple);
            continue;
        }
        if (t.callers_.size() >= t.config_.max_connections_) {
            base::event_line("caller_turned_away", base::severity::warning)
                .field("connections", t.callers_.size());
            continue;
        }
        asio::co_spawn(
            t.context_, pvt::run_session(t, std::move(socket)), asio::detached);
    }
}


// A host that was replaced by another group or process starts without the
// doubts of before.
void take_view(front_thread& t, view_pointer view)
{
    std::unordered_map<base::host_id, bool> listed;
    for (const auto& [deployment, hosts] : view->upstreams_) {
        for (const upstream& u : hosts)
            listed[u.host_] = true;
    }
    t.board_.keep_only(listed);
    t.view_ = std::move(view);
}


bool is_heard(front_thread& t, const base::host_id& host)
{
    const upstream_state* s = t.board_.find(host);
    return s != nullptr &&
           base::boot_clock::now() - s->last_progress_ < recent_progress;
}


void take_doubt(front_thread& t, const base::host_id& host)
{
    if (!is_heard(t, host))
        t.board_.of(host).doubted_until_ =
            base::boot_clock::now() + pvt::doubt_time;
    else if (t.events_.answers_)
        t.events_.answers_(host);
}


void take_trust(front_thread& t, const base::host_id& host)
{
    upstream_state& s = t.board_.of(host);
    s.doubted_until_ = {};
    s.heard_by_peer_ = base::boot_clock::now();
}

} // namespace

struct front::impl
{
    impl(front_config config, front_events events, metrics::registry& metrics)
        : thread_state_(std::move(config), std::move(events), metrics)
    {}

    front_thread thread_state_;
    std::thread thread_;
};


front::front(
    front_config config, front_events events, metrics::registry& metrics)
    : impl_(
          std::make_unique<impl>(std::move(config), std::move(events), metrics))
{}


front::~front()
{
    stop();
}


base::result<base::done> front::start(const asio::ip::tcp::endpoint& address)
{
    front_thread& t = impl_->thread_state_;
    try {
        t.acceptor_.open(address.protocol());
        t.acceptor_.set_option(asio::socket_base::reuse_address(true));
        t.acceptor_.bind(address);
        t.acceptor_.listen(accept_backlog);
    } catch (const boost::system::system_error& failure) {
        return base::problem{
            base::problem_code::unavailable,
            std::string("can't listen for callers: ") + failure.what(),
            "set caller_address to a free address of this host"};
    }
    asio::co_spawn(t.context_, accept_callers(t), asio::detached);
    pvt::start_sweep(t);
    impl_->thread_ = std::thread([&t] {
        const auto guard = asio::make_work_guard(t.context_);
        t.context_.run();
    });
    return base::done{};
}


void front::publish(view_pointer view)
{
    front_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, view = std::move(view)]() mutable {
        take_view(t, std::move(view));
    });
}


void front::set_peer_loads(
    base::daemon_id peer, std::unordered_map<base::host_id, unsigned> loads)
{
    front_thread& t = impl_->thread_state_;
    asio::post(
        t.context_, [&t, peer = std::move(peer), loads = std::move(loads)] {
            t.board_.set_peer_loads(peer, loads);
        });
}


void front::doubt_upstream(base::host_id host)
{
    front_thread& t = impl_->thread_state_;
    asio::post(
        t.context_, [&t, host = std::move(host)] { take_doubt(t, host); });
}


void front::trust_upstream(base::host_id host)
{
    front_thread& t = impl_->thread_state_;
    asio::post(
        t.context_, [&t, host = std::move(host)] { take_trust(t, host); });
}


void front::add_crash(crash_report report)
{
    front_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, report = std::move(report)] {
        t.crashes_.add(report, base::boot_clock::now());
    });
}


void front::read_activity(std::function<void(activity)> done)
{
    front_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, done = std::move(done)] {
        done({t.board_.own_loads(), std::exchange(t.work_, {})});
    });
}


void front::ask_upstream(base::host_id host)
{
    front_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, host = std::move(host)] {
        if (is_heard(t, host) && t.events_.answers_)
            t.events_.answers_(host);
    });
}


std::uint64_t front::active_requests() const noexcept
{
    return impl_->thread_state_.active_;
}


void front::refuse_new() noexcept
{
    impl_->thread_state_.refusing_ = true;
}


void front::stop()
{
    impl_->thread_state_.context_.stop();
    if (impl_->thread_.joinable())
        impl_->thread_.join();
}

} // namespace monsoondock::relay
