#include "control.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/event_writer.hpp>
#include <monsoondock/entry/run_entry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <unistd.h>

namespace monsoondock::entry {

namespace asio = boost::asio;

namespace {

relay::proxy_config
make_proxy_config(const settings::entry_config& config, const site_adapter& a)
{
    relay::proxy_config f;
    f.headers_ = a.headers_;
    f.data_centre_ = config.data_centre_;
    f.retry_limit_ = {
        config.retries_.window_,
        config.retries_.ratio_,
        double(config.retries_.slack_),
        // What this daemon used of the slack before it was started again still
        // counts for a window.
        config.first_start_
            ? base::time_point()
            : base::boot_clock::now() + config.retries_.window_};
    f.max_connections_ = config.max_connections_;
    return f;
}


relay::proxy_callbacks make_proxy_callbacks(pvt::control& c)
{
    relay::proxy_callbacks callbacks;
    callbacks.on_unhealthy_ = [&c](const relay::unhealthy_report& d) {
        asio::post(c.context_, [&c, d] {
            const pvt::doubt_message m{d.host_, d.failed_address_};
            pvt::broadcast(c, m);
            pvt::check_group(c, m);
        });
    };
    callbacks.on_no_progress_ = [&c](const base::host_id& host) {
        asio::post(c.context_, [&c, host] {
            pvt::broadcast(c, pvt::question_message{host});
        });
    };
    callbacks.on_crash_ = [&c](const relay::crash_report& r) {
        asio::post(
            c.context_, [&c, r] { pvt::broadcast(c, pvt::crash_message{r}); });
    };
    callbacks.on_responsive_ = [&c](const base::host_id& host) {
        asio::post(c.context_, [&c, host] {
            c.verdicts_[host].answered_at_ = base::boot_clock::now();
            pvt::broadcast(c, pvt::trust_message{host});
        });
    };
    return callbacks;
}


void bind_peers(pvt::control& c)
{
    const asio::ip::udp::endpoint address(
        asio::ip::make_address(c.config_.peer_address_.ip_),
        c.config_.peer_address_.port_);
    c.peer_socket_.open(address.protocol());
    c.peer_socket_.bind(address);
}


void spawn_all(pvt::control& c)
{
    auto& context = c.context_;
    asio::co_spawn(context, pvt::run_signals(c), asio::detached);
    asio::co_spawn(context, pvt::run_catalog_feed(c), asio::detached);
    asio::co_spawn(context, pvt::run_catalog_catch_up(c), asio::detached);
    asio::co_spawn(context, pvt::run_host_feed(c), asio::detached);
    asio::co_spawn(context, pvt::run_host_follow(c), asio::detached);
    asio::co_spawn(context, pvt::run_store_checks(c), asio::detached);
    asio::co_spawn(context, pvt::run_peers(c), asio::detached);
    asio::co_spawn(context, pvt::run_load_reports(c), asio::detached);
    asio::co_spawn(context, pvt::run_leadership(c), asio::detached);
    asio::co_spawn(context, pvt::run_placement(c), asio::detached);
}

base::result<base::done>
run_logged(const settings::entry_config& config, const site_adapter& adapter)
{
    metrics::registry metrics;
    pvt::control c(config, adapter, metrics);
    c.front_ = std::make_unique<relay::reverse_proxy>(
        make_proxy_config(config, adapter), make_proxy_callbacks(c), metrics);
    try {
        bind_peers(c);
        pvt::start_pages(c);
    } catch (const boost::system::system_error& failure) {
        return base::problem{
            base::problem_code::unavailable,
            std::string("can't listen: ") + failure.what(),
            "check the addresses in the settings file"};
    }
    auto started = c.front_->start(
        {asio::ip::make_address(config.caller_address_.ip_),
         config.caller_address_.port_});
    if (!base::ok(started))
        return started;
    base::event_line("started")
        .field("daemon", config.daemon_)
        .field("data_centre", config.data_centre_)
        .field("caller_address", settings::to_string(config.caller_address_))
        .field("first_start", config.first_start_ ? "yes" : "no");
    spawn_all(c);
    c.context_.run();
    c.front_->stop();
    return base::done{};
}

} // namespace

base::result<base::done>
run_entry(const settings::entry_config& config, const site_adapter& adapter)
{
    std::signal(SIGPIPE, SIG_IGN);
    base::event_writer log(STDOUT_FILENO);
    base::install_event_writer(&log);
    base::result<base::done> ended = run_logged(config, adapter);
    base::install_event_writer(nullptr);
    return ended;
}

} // namespace monsoondock::entry
