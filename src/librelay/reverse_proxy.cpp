#include "caller_session.hpp"
#include "crash_records.hpp"
#include "cut_log.hpp"
#include "proxy_thread.hpp"
#include "upstream_limits.hpp"
#include "upstream_pace.hpp"
#include "wait_limits.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/relay/reverse_proxy.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <thread>

namespace monsoondock::relay {

namespace asio = boost::asio;

using pvt::proxy_thread;

namespace {

constexpr int accept_backlog = 1024;
// Pause after a failed accept. Without it the loop would spin when file
// descriptors run out.
constexpr std::chrono::milliseconds accept_pause{50};
// Progress this recent refutes a peer's report that the upstream is unhealthy.
constexpr std::chrono::milliseconds recent_progress{80};


void start_session(
    proxy_thread& t, asio::ip::tcp::socket socket, bool from_daemon)
{
    ++t.open_connections_;
    asio::co_spawn(
        t.context_,
        pvt::run_session(t, std::move(socket), from_daemon),
        asio::detached);
}


// Accepts connections of callers, or of other daemons.
asio::awaitable<void> accept_connections(
    proxy_thread& t, asio::ip::tcp::acceptor& acceptor, bool from_daemons)
{
    asio::steady_timer pause(t.context_);
    for (;;) {
        auto [failure, socket] =
            co_await acceptor.async_accept(base::await_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure) {
            base::event_line("accept_failed", base::severity::warning)
                .field("reason", failure.message());
            pause.expires_after(accept_pause);
            co_await pause.async_wait(base::await_tuple);
            continue;
        }
        if (t.caller_connections_.size() >= t.config_.max_connections_) {
            base::event_line(
                "connection_limit_reached", base::severity::warning)
                .field("connections", t.caller_connections_.size());
            continue;
        }
        start_session(t, std::move(socket), from_daemons);
    }
}


// Removes the state of hosts that are no longer listed, so that a host that is
// listed again later starts out healthy.
void apply_view(proxy_thread& t, view_pointer view)
{
    std::unordered_map<base::host_id, bool> listed;
    for (const auto& [deployment, hosts] : view->upstreams_) {
        for (const upstream& u : hosts) {
            listed[u.host_] = true;
            if (t.upstream_table_.detect_restart(u.host_, u.process_start_ms_))
                hostpace::restart(
                    t.upstream_table_.state_of(u.host_).pace_,
                    base::boot_clock::now());
        }
    }
    t.upstream_table_.keep_only(listed, base::boot_clock::now());
    t.upstream_table_.set_cut_links(t.links_->cut_hosts_);
    const bool daemons_changed =
        t.view_->peers_ != view->peers_ ||
        t.view_->known_daemons_ != view->known_daemons_ ||
        t.view_->shares_cold_limits_ != view->shares_cold_limits_;
    t.view_ = std::move(view);
    if (daemons_changed)
        update_limit_shares(t);
    for (const auto& [deployment, hosts] : t.view_->upstreams_) {
        for (const upstream& u : hosts)
            pvt::apply_cold_state(t, u);
    }
}


bool has_recent_progress(proxy_thread& t, const base::host_id& host)
{
    const upstream_state* s = t.upstream_table_.find(host);
    return s != nullptr &&
           base::boot_clock::now() - s->last_progress_ < recent_progress;
}


void apply_unhealthy(proxy_thread& t, const base::host_id& host)
{
    if (!has_recent_progress(t, host))
        t.upstream_table_.state_of(host).unhealthy_until_ =
            base::boot_clock::now() + pvt::unhealthy_period;
    else if (t.callbacks_.on_responsive_)
        t.callbacks_.on_responsive_(host);
}


void apply_healthy(proxy_thread& t, const base::host_id& host)
{
    upstream_state& s = t.upstream_table_.state_of(host);
    s.unhealthy_until_ = {};
    s.confirmed_by_peer_at_ = base::boot_clock::now();
}


// Accepts the connections that wait in the queue of a listener, which would
// otherwise be reset, and closes it.
void close_listener(
    proxy_thread& t, asio::ip::tcp::acceptor& acceptor, bool from_daemons)
{
    boost::system::error_code failure;
    acceptor.non_blocking(true, failure);
    while (!failure) {
        asio::ip::tcp::socket socket(t.context_);
        acceptor.accept(socket, failure);
        if (!failure)
            start_session(t, std::move(socket), from_daemons);
    }
    acceptor.close(failure);
}


base::result<base::done> listen(
    asio::ip::tcp::acceptor& acceptor, const asio::ip::tcp::endpoint& address)
{
    try {
        acceptor.open(address.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen(accept_backlog);
    } catch (const boost::system::system_error& failure) {
        return base::problem{
            base::problem_code::unavailable,
            std::string("can't listen: ") + failure.what(),
            "set the address to a free one of this host"};
    }
    return base::done{};
}


void close_idle_callers(const proxy_thread& t)
{
    for (const auto& connection : t.caller_connections_) {
        if (connection->phase_ == pvt::caller_phase::idle)
            pvt::close_when_idle(*connection);
    }
}

} // namespace

struct reverse_proxy::impl
{
    impl(
        proxy_config config,
        proxy_callbacks callbacks,
        metrics::registry& metrics)
        : thread_state_(std::move(config), std::move(callbacks), metrics)
    {}

    proxy_thread thread_state_;
    std::thread thread_;
};


reverse_proxy::reverse_proxy(
    proxy_config config, proxy_callbacks callbacks, metrics::registry& metrics)
    : impl_(std::make_unique<impl>(
          std::move(config), std::move(callbacks), metrics))
{}


reverse_proxy::~reverse_proxy()
{
    stop();
}


base::result<base::done>
reverse_proxy::start(const asio::ip::tcp::endpoint& address)
{
    proxy_thread& t = impl_->thread_state_;
    auto listening = listen(t.acceptor_, address);
    if (!base::ok(listening))
        return listening;
    asio::co_spawn(
        t.context_, accept_connections(t, t.acceptor_, false), asio::detached);
    pvt::start_sweep(t);
    impl_->thread_ = std::thread([&t] {
        const auto guard = asio::make_work_guard(t.context_);
        t.context_.run();
    });
    return base::done{};
}


base::result<base::done>
reverse_proxy::accept_detours(const asio::ip::tcp::endpoint& address)
{
    proxy_thread& t = impl_->thread_state_;
    auto listening = listen(t.detour_acceptor_, address);
    if (base::ok(listening))
        asio::co_spawn(
            t.context_,
            accept_connections(t, t.detour_acceptor_, true),
            asio::detached);
    return listening;
}


void reverse_proxy::publish_links(link_view_pointer links)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, links = std::move(links)]() mutable {
        t.links_ = std::move(links);
        t.upstream_table_.set_cut_links(t.links_->cut_hosts_);
    });
}


void reverse_proxy::resolve_losses(base::host_id host, bool link_cut)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, host = std::move(host), link_cut] {
        pvt::resolve_losses(t, host, link_cut);
    });
}


void reverse_proxy::publish(view_pointer view)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, view = std::move(view)]() mutable {
        apply_view(t, std::move(view));
    });
}


void reverse_proxy::set_peer_loads(
    base::daemon_id peer, std::unordered_map<base::host_id, unsigned> loads)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(
        t.context_, [&t, peer = std::move(peer), loads = std::move(loads)] {
            t.upstream_table_.set_peer_loads(peer, loads);
            t.peer_loads_at_ = base::boot_clock::now();
        });
}


void reverse_proxy::mark_unhealthy(base::host_id host)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(
        t.context_, [&t, host = std::move(host)] { apply_unhealthy(t, host); });
}


void reverse_proxy::mark_healthy(base::host_id host)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(
        t.context_, [&t, host = std::move(host)] { apply_healthy(t, host); });
}


void reverse_proxy::mark_leaving(
    base::host_id host, std::int64_t process_start_ms)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, host = std::move(host), process_start_ms] {
        upstream_state& s = t.upstream_table_.state_of(host);
        s.leaving_ = true;
        s.process_start_ms_ = process_start_ms;
    });
}


void reverse_proxy::add_crash_report(crash_report report)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, report = std::move(report)] {
        t.crash_tracker_.add(report, base::boot_clock::now());
    });
}


void reverse_proxy::apply_part_report(crashes::part_report report)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, report = std::move(report)] {
        pvt::apply_part_report(t, report);
    });
}


void reverse_proxy::apply_host_limit(host_limit_report report)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, report = std::move(report)] {
        pvt::apply_limit_report(t, report);
    });
}


void reverse_proxy::apply_pace_reports(
    base::daemon_id source, std::vector<hostpace::pace_report> reports)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(
        t.context_,
        [&t, source = std::move(source), reports = std::move(reports)] {
            pvt::apply_pace_reports(t, source, reports);
        });
}


void reverse_proxy::take_traffic_stats(std::function<void(traffic_stats)> done)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, done = std::move(done)] {
        const base::time_point now = base::boot_clock::now();
        done(
            {t.upstream_table_.local_loads(),
             std::exchange(t.demand_, {}),
             t.part_tracker_.take_report(now),
             t.part_tracker_.state(now),
             pvt::host_limits(t),
             std::exchange(t.connected_, {}),
             pvt::pace_reports(t, now)});
    });
}


void reverse_proxy::report_if_responsive(
    base::host_id host, std::function<void()> responsive)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(
        t.context_,
        [&t, host = std::move(host), responsive = std::move(responsive)] {
            if (has_recent_progress(t, host))
                responsive();
        });
}


std::uint64_t reverse_proxy::active_requests() const noexcept
{
    return impl_->thread_state_.active_;
}


std::uint64_t reverse_proxy::busy_connections() const noexcept
{
    return impl_->thread_state_.busy_connections_;
}


bool reverse_proxy::is_closed() const noexcept
{
    const proxy_thread& t = impl_->thread_state_;
    return t.closing_ && t.open_connections_ == 0;
}


void reverse_proxy::drain(const drain_schedule& schedule)
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t, schedule] { t.drain_ = schedule; });
}


void reverse_proxy::close_idle_connections()
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t] {
        close_listener(t, t.acceptor_, false);
        if (t.detour_acceptor_.is_open())
            close_listener(t, t.detour_acceptor_, true);
        t.closing_ = true;
        close_idle_callers(t);
    });
}


void reverse_proxy::abort_requests()
{
    proxy_thread& t = impl_->thread_state_;
    asio::post(t.context_, [&t] {
        t.aborting_ = true;
        pvt::log_aborted_requests(t);
        for (const auto& e : t.exchanges_)
            pvt::stop(*e, pvt::stop_reason::shutdown);
    });
}


void reverse_proxy::stop()
{
    impl_->thread_state_.context_.stop();
    if (!impl_->thread_.joinable())
        return;
    impl_->thread_.join();
    pvt::log_cut_work(impl_->thread_state_);
}

} // namespace monsoondock::relay
