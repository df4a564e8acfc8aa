#include "caller_session.hpp"
#include "caller_shutdown.hpp"
#include "traffic_thread.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/traffic/server.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>
#include <thread>
#include <vector>

namespace monsoondock::traffic {

namespace asio = boost::asio;

using pvt::traffic_thread;

namespace {

// The kernel distributes new connections over all acceptors of the address.
using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Delay after a failed accept, so that running out of file descriptors does not
// cause a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{50};

struct worker
{
    worker(server_options& options, pvt::server_state& shared, unsigned seed)
        : state_(options, shared, seed), acceptor_(state_.context_)
    {}

    traffic_thread state_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};


void listen(asio::ip::tcp::acceptor& a, const asio::ip::tcp::endpoint& address)
{
    a.open(address.protocol());
    a.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    a.set_option(reuse_port(true));
    a.bind(address);
    a.listen();
}


bool at_connection_limit(const traffic_thread& thread)
{
    return thread.shared_.connections_ >=
           thread.options_.limits_.max_connections_;
}


asio::awaitable<void> accept_loop(worker& w)
{
    asio::steady_timer retry_timer(w.state_.context_);
    while (w.acceptor_.is_open()) {
        auto [failure, socket] =
            co_await w.acceptor_.async_accept(base::await_tuple);
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure) {
            retry_timer.expires_after(accept_retry_delay);
            co_await retry_timer.async_wait(base::await_tuple);
            continue;
        }
        if (at_connection_limit(w.state_))
            continue;
        asio::co_spawn(
            w.state_.context_,
            pvt::run_session(w.state_, std::move(socket)),
            asio::detached);
    }
}


// Accepts the connections that wait in the queue of the listener, which would
// otherwise be reset, and closes it.
void close_listener(worker& w)
{
    boost::system::error_code failure;
    w.acceptor_.non_blocking(true, failure);
    while (!failure) {
        asio::ip::tcp::socket socket(w.state_.context_);
        w.acceptor_.accept(socket, failure);
        if (!failure && !at_connection_limit(w.state_))
            asio::co_spawn(
                w.state_.context_,
                pvt::run_session(w.state_, std::move(socket)),
                asio::detached);
    }
    w.acceptor_.close(failure);
    // Runs after the sessions spawned above have been counted.
    asio::post(w.state_.context_, [&listeners = w.state_.shared_.listeners_] {
        --listeners;
    });
}

} // namespace

struct server::impl
{
    explicit impl(server_options options) : options_(std::move(options)) {}

    server_options options_;
    pvt::server_state shared_;
    std::vector<std::unique_ptr<worker>> workers_;
};


server::server(server_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{}


server::~server()
{
    stop();
}


base::result<base::done>
server::start(const asio::ip::tcp::endpoint& address, std::size_t threads)
{
    std::random_device seed;
    for (std::size_t i = 0; i < threads; ++i) {
        auto w =
            std::make_unique<worker>(impl_->options_, impl_->shared_, seed());
        try {
            listen(w->acceptor_, address);
        } catch (const boost::system::system_error& failure) {
            return base::problem{
                base::problem_code::unavailable,
                std::string("can't listen: ") + failure.what(),
                "set caller_address to a free address of this host"};
        }
        impl_->workers_.push_back(std::move(w));
    }
    impl_->shared_.listeners_ = impl_->workers_.size();
    for (auto& w : impl_->workers_) {
        asio::co_spawn(w->state_.context_, accept_loop(*w), asio::detached);
        w->thread_ = std::thread([&context = w->state_.context_] {
            const auto guard = asio::make_work_guard(context);
            context.run();
        });
    }
    return base::done{};
}


void server::drain(base::time_point exit_at)
{
    impl_->shared_.exit_at_ = exit_at;
}


void server::stop_accepting()
{
    impl_->shared_.closing_ = true;
    for (auto& w : impl_->workers_) {
        asio::post(w->state_.context_, [&worker = *w] {
            close_listener(worker);
            pvt::close_idle_callers(worker.state_);
        });
    }
}


void server::abort_requests()
{
    impl_->shared_.aborting_ = true;
    for (auto& w : impl_->workers_) {
        asio::post(w->state_.context_, [&thread = w->state_] {
            pvt::abort_requests(thread);
        });
    }
}


bool server::is_closed() const
{
    const pvt::server_state& shared = impl_->shared_;
    return shared.closing_ && shared.listeners_ == 0 &&
           shared.connections_ == 0 && shared.requests_ == 0;
}


std::uint64_t server::active_requests() const
{
    return impl_->shared_.requests_;
}


void server::stop()
{
    for (auto& w : impl_->workers_)
        w->state_.context_.stop();
    for (auto& w : impl_->workers_) {
        if (!w->thread_.joinable())
            continue;
        w->thread_.join();
        pvt::log_cut_work(w->state_);
    }
    impl_->workers_.clear();
}

} // namespace monsoondock::traffic
