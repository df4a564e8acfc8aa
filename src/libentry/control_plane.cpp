#include "control_plane.hpp"

#include "evacuation_watch.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>
#include <monsoondock/fleet/replica_group.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// Limit on the store's response to all calls except watches.
constexpr std::chrono::milliseconds store_call_timeout{1000};
// Membership spreads a new daemon to all others within this time.
constexpr std::chrono::milliseconds settle_time{1000};
// Partitions are shorter than this in general, and hosts are cold for some
// seconds, for which a daemon that has been started leaves them to the others.
constexpr std::chrono::milliseconds acquaintance_time{10000};
// Building a view takes time in proportion to the number of hosts, whose
// entries change many times a second in a large cluster.
constexpr std::chrono::milliseconds min_view_period{60};


// Returns the incarnation number for membership: it has to increase with each
// run of a daemon.
std::uint64_t make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}


membership::endpoint to_membership_endpoint(const settings::socket_address& a)
{
    return membership::parse_endpoint(settings::to_string(a))
        .value_or(membership::endpoint{});
}


membership::member_record make_record(const settings::entry_config& config)
{
    membership::member_record r;
    r.id_ = config.daemon_;
    r.data_centre_ = config.data_centre_;
    r.region_ = config.region_;
    r.peer_ = to_membership_endpoint(config.peer_address_);
    r.caller_ = to_membership_endpoint(config.caller_address_);
    constexpr double permille = 1000;
    r.capacity_permille_ =
        static_cast<std::uint16_t>(config.processor_cores_ * permille);
    r.incarnation_ = {make_incarnation()};
    r.status_.entry_mode_ = membership::entry_mode::draining;
    return r;
}


// Callers notice the failure of a daemon within a second or two, so its peers
// have to detect it as fast.
membership::node_config make_node_config()
{
    membership::node_config c;
    c.probe_period_ = 400ms;
    c.direct_timeout_ = 150ms;
    c.suspicion_base_ = 1200ms;
    c.expiry_period_ = 200ms;
    c.dead_probe_period_ = 2000ms;
    c.dead_retention_ = std::chrono::minutes(10);
    c.sync_period_ = 5000ms;
    c.seed_period_ = 3000ms;
    c.join_period_ = 200ms;
    c.urgent_fanout_ = 8;
    c.urgent_period_ = 50ms;
    return c;
}


asio::ip::tcp::endpoint to_endpoint(const settings::socket_address& a)
{
    return {asio::ip::make_address(a.ip_), a.port_};
}


// Returns until when a host is cold: by its entry, or as the evacuation of its
// data centre has ended. Unset when it is not, and was not lately.
base::time_point cold_until(
    const control_plane& c,
    const catalog::deployment& d,
    const fleet::host_info& host)
{
    base::time_point until;
    const bool limited = d.cold_requests_per_second_ > 0;
    const auto by_entry = c.hosts_.cold_until_.find(host.id_);
    if (limited && by_entry != c.hosts_.cold_until_.end())
        until = by_entry->second;
    const auto ended = c.evacuations_.ended_at_.find(host.data_centre_);
    if (ended != c.evacuations_.ended_at_.end())
        until = std::max(
            until,
            ended->second +
                (limited ? d.cold_time_ : std::chrono::milliseconds(0)));
    return until;
}


relay::upstream make_upstream(
    const control_plane& c,
    const catalog::deployment& d,
    const fleet::host_info& host,
    const asio::ip::tcp::endpoint& address)
{
    relay::upstream u;
    u.host_ = host.id_;
    u.address_ = address;
    u.data_centre_ = host.data_centre_;
    u.slots_ = host.slots_;
    u.process_start_ms_ = host.process_start_ms_;
    u.cold_until_ = cold_until(c, d, host);
    u.cold_requests_per_second_ = d.cold_requests_per_second_;
    return u;
}


std::optional<asio::ip::tcp::endpoint> parse_address(const std::string& text)
{
    const auto parsed = settings::parse_socket_address(text);
    if (!parsed)
        return std::nullopt;
    return to_endpoint(*parsed);
}


std::vector<relay::upstream>
service_upstreams(const control_plane& c, const catalog::deployment& d)
{
    std::vector<relay::upstream> result;
    for (const auto& [host_id, host] : c.hosts_.hosts_) {
        const auto address = parse_address(host.address_);
        if (host.deployment_ == d.id_ && !host.draining_ && address &&
            !is_evacuated(c, host.data_centre_))
            result.push_back(make_upstream(c, d, host, *address));
    }
    return result;
}


bool has_unreachable_member(
    const control_plane& c, const fleet::replica_group& group)
{
    const base::time_point now = base::boot_clock::now();
    for (const base::host_id& id : group.members_) {
        const auto reachability = c.reachability_.find(id);
        if (reachability != c.reachability_.end() &&
            reachability->second.unreachable_until_ > now)
            return true;
    }
    return false;
}


bool is_retiring(const control_plane& c, const base::host_id& head)
{
    for (const auto& [id, planner] : c.planners_) {
        for (const base::host_id& retiring : planner.retiring_heads()) {
            if (retiring == head)
                return true;
        }
    }
    return false;
}


std::vector<relay::upstream>
group_upstreams(const control_plane& c, const catalog::deployment& d)
{
    std::map<std::string, unsigned> sizes;
    std::map<std::string, double> time_factors;
    for (const catalog::model& m : d.engine_->models_) {
        sizes[m.name_] = m.group_size_;
        time_factors[m.name_] = m.time_factor_;
    }
    std::vector<relay::upstream> result;
    for (const auto& [key, group] :
         fleet::derive_groups(c.hosts_.hosts_, d.id_, sizes)) {
        if (!fleet::may_serve(group) || has_unreachable_member(c, group) ||
            is_retiring(c, group.members_.front()))
            continue;
        const auto& head = c.hosts_.hosts_.at(group.members_.front());
        const auto address = parse_address(head.address_);
        if (!address || is_evacuated(c, head.data_centre_))
            continue;
        relay::upstream u = make_upstream(c, d, head, *address);
        u.slots_ = d.engine_->slots_;
        u.model_ = group.model_;
        u.time_factor_ = time_factors[group.model_];
        u.group_ = key.name_;
        result.push_back(std::move(u));
    }
    return result;
}


} // namespace

std::vector<membership::endpoint>
configured_seeds(const settings::entry_config& config)
{
    std::vector<membership::endpoint> seeds;
    const auto self = to_membership_endpoint(config.peer_address_);
    for (settings::socket_address a : config.seed_hosts_) {
        a.port_ = config.peer_address_.port_;
        const auto seed = to_membership_endpoint(a);
        if (seed != self)
            seeds.push_back(seed);
    }
    return seeds;
}


control_plane::control_plane(
    const settings::entry_config& config,
    const platform_adapter& adapter,
    metrics::registry& metrics)
    : config_(config), adapter_(adapter), metrics_(metrics),
      random_(std::random_device()()),
      store_(
          context_.get_executor(),
          {to_endpoint(config.platform_address_)},
          store_call_timeout,
          *adapter.store_),
      peer_socket_(context_), node_(
                                  make_node_config(),
                                  make_record(config),
                                  configured_seeds(config),
                                  random_()),
      started_at_(base::boot_clock::now()), run_id_(random_()),
      placement_timer_(context_), peer_sync_timer_(context_)
{}


bool has_settled(const control_plane& c)
{
    return base::boot_clock::now() - c.started_at_ >= settle_time;
}


unsigned live_daemons(const control_plane& c)
{
    unsigned count = 1;
    for (const auto& [id, member] : c.node_.members())
        count += member.record_.state_ == membership::member_state::alive;
    return count;
}


namespace {

// A daemon that was started in a partition knows too few others for a share in
// the limits of cold hosts. On the first start of the system all are started.
std::chrono::milliseconds time_to_know_daemons(const control_plane& c)
{
    return c.config_.first_start_ ? settle_time : acquaintance_time;
}


bool knows_daemons(const control_plane& c)
{
    return base::boot_clock::now() - c.started_at_ >= time_to_know_daemons(c);
}

} // namespace

relay::view_pointer make_view(const control_plane& c)
{
    auto view = std::make_shared<relay::serving_view>();
    view->catalog_ = c.catalog_.catalog_;
    view->daemons_ = live_daemons(c);
    for (const auto& [id, member] : c.node_.members()) {
        view->known_daemons_.push_back(id);
        if (member.record_.state_ == membership::member_state::alive)
            view->peers_.push_back(id);
    }
    view->shares_cold_limits_ = knows_daemons(c);
    view->load_report_age_ = load_report_age(c);
    view->stopping_ = c.stopping_;
    view->evacuated_ = c.evacuations_.set_.data_centres_;
    // A request must not reach an evacuated data centre before this daemon has
    // learned of the evacuation.
    if (view->catalog_ != nullptr && knows_evacuations(c)) {
        for (const auto& [id, d] : view->catalog_->deployments_)
            view->upstreams_[id] =
                d.engine_ ? group_upstreams(c, d) : service_upstreams(c, d);
    }
    return view;
}


namespace {

void publish_view_now(control_plane& c)
{
    c.view_published_at_ = base::boot_clock::now();
    c.proxy_->publish(make_view(c));
}


asio::awaitable<void>
publish_view_later(control_plane& c, std::chrono::milliseconds delay)
{
    co_await sleep_for(c, delay);
    c.view_scheduled_ = false;
    publish_view_now(c);
}

} // namespace

void publish_view(control_plane& c)
{
    if (c.view_scheduled_)
        return;
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
        base::boot_clock::now() - c.view_published_at_);
    if (passed >= min_view_period) {
        publish_view_now(c);
        return;
    }
    c.view_scheduled_ = true;
    asio::co_spawn(
        c.context_,
        publish_view_later(c, min_view_period - passed),
        asio::detached);
}


asio::awaitable<void> publish_first_shares(control_plane& c)
{
    co_await sleep_for(c, time_to_know_daemons(c));
    publish_view(c);
}


bool is_ready(const control_plane& c)
{
    return !c.stopping_ && c.catalog_.catalog_ != nullptr && c.hosts_.loaded_ &&
           knows_evacuations(c);
}


void publish_status(control_plane& c)
{
    membership::member_status status;
    status.settings_revision_ = catalog_rank(c);
    status.entry_mode_ = !is_ready(c)        ? membership::entry_mode::draining
                         : c.links_.cut_off_ ? membership::entry_mode::detouring
                                             : membership::entry_mode::open;
    apply_node_output(c, c.node_.set_status(status, base::boot_clock::now()));
}


void record_store_result(control_plane& c, bool answered)
{
    (answered ? c.store_answered_at_ : c.store_failed_at_) =
        base::boot_clock::now();
    if (answered == !c.store_failed_)
        return;
    c.store_failed_ = !answered;
    base::event_line(
        answered ? "store_recovered" : "store_lost",
        answered ? base::severity::info : base::severity::warning)
        .field("daemon", c.config_.daemon_);
}


double uniform_random(control_plane& c)
{
    return std::uniform_real_distribution<double>()(c.random_);
}


asio::awaitable<void>
sleep_for(control_plane& c, std::chrono::milliseconds time)
{
    asio::steady_timer timer(c.context_, time);
    co_await timer.async_wait(base::await_tuple);
}

} // namespace monsoondock::entry::pvt
