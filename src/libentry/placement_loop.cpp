#include "control_plane.hpp"
#include "election.hpp"
#include "http_call.hpp"

#include <monsoondock/base/await_tuple.hpp>
#include <monsoondock/base/event_line.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds step_period{100};
constexpr std::chrono::milliseconds order_timeout{700};
// On the first start of the system, callers send no requests for this time
// after the daemons have started.
constexpr std::chrono::milliseconds traffic_start_delay{9500};
// Time for which a host that did not accept the connection for an order is
// treated as unreachable.
constexpr std::chrono::milliseconds order_unreachable_period{3000};


std::optional<asio::ip::tcp::endpoint>
address_of(const control_plane& c, const base::host_id& id)
{
    const auto found = c.hosts_.hosts_.find(id);
    if (found == c.hosts_.hosts_.end())
        return std::nullopt;
    const auto address = settings::parse_socket_address(found->second.address_);
    if (!address)
        return std::nullopt;
    return asio::ip::tcp::endpoint(
        asio::ip::make_address(address->ip_), address->port_);
}


call_request make_request(const control_plane& c, const placement::order& o)
{
    call_request r(http::verb::post, c.adapter_.orders_path_, 11);
    r.set(http::field::host, o.host_.value_);
    r.set(c.adapter_.headers_.target_host_, o.host_.value_);
    r.set(http::field::content_type, "application/json");
    r.set(http::field::connection, "close");
    r.body() = c.adapter_.serialize_order_(o);
    r.prepare_payload();
    return r;
}


placement::order_outcome
outcome_of(const control_plane& c, const call_result& result)
{
    if (const auto* response = std::get_if<call_response>(&result))
        return c.adapter_.order_outcome_from_status_(response->result_int());
    if (std::get<call_failure>(result) == call_failure::refused)
        return placement::order_outcome::no_such_host;
    return placement::order_outcome::unanswered;
}


// Returns the outcome of an order to a host that did not accept the connection.
// The host may be all right and the link of this daemon cut.
asio::awaitable<placement::order_outcome> outcome_without_connection(
    control_plane& c, base::host_id id, placement::order_outcome outcome)
{
    const paths::conclusion conclusion = co_await check_link(c, id);
    if (conclusion != paths::conclusion::host_failed)
        co_return placement::order_outcome::unanswered;
    c.reachability_[id].unreachable_until_ =
        base::boot_clock::now() + order_unreachable_period;
    co_return outcome;
}


asio::awaitable<void> send_order(
    control_plane& c,
    base::deployment_id deployment,
    placement::order o,
    std::optional<asio::ip::tcp::endpoint> address)
{
    placement::order_outcome outcome = placement::order_outcome::unanswered;
    std::string status = "none";
    if (address) {
        const auto result = co_await send_request(
            c.context_,
            *address,
            make_request(c, o),
            order_connect_timeout,
            order_timeout);
        outcome = outcome_of(c, result);
        const auto* failure = std::get_if<call_failure>(&result);
        if (failure != nullptr && *failure != call_failure::unanswered)
            outcome = co_await outcome_without_connection(c, o.host_, outcome);
        if (const auto* response = std::get_if<call_response>(&result))
            status = std::to_string(response->result_int());
    }
    base::event_line("order")
        .field("kind", to_string(o.kind_))
        .field("host", o.host_)
        .field("group", o.group_.name_)
        .field("model", o.model_)
        .field("outcome", to_string(outcome))
        .field("status", status);
    const auto planner = c.planners_.find(deployment);
    if (planner != c.planners_.end())
        planner->second.handle_order_outcome(
            o.number_, outcome, base::boot_clock::now());
    c.placement_timer_.cancel();
}


// Returns the listed hosts and those whose groups are to be left as they are.
fleet::host_table placed_hosts(const control_plane& c)
{
    fleet::host_table hosts = c.hosts_.hosts_;
    for (const auto& [id, suspended] : c.hosts_.suspended_)
        hosts.try_emplace(id, suspended.info_);
    return hosts;
}


placement::planner_input make_planner_input(
    const control_plane& c,
    const catalog::deployment& d,
    const fleet::host_table& hosts)
{
    placement::planner_input input;
    input.now_ = base::boot_clock::now();
    input.hosts_ = &hosts;
    input.engine_ = &*d.engine_;
    for (const auto& [id, reachability] : c.reachability_) {
        if (reachability.unreachable_until_ > input.now_)
            input.unreachable_.insert(id);
    }
    input.evacuated_ = c.evacuations_.set_.data_centres_;
    input.needed_hosts_ = needed_hosts(c, d);
    input.before_traffic_ = c.config_.first_start_ &&
                            input.now_ - c.started_at_ < traffic_start_delay;
    return input;
}


placement::planner& planner_of(control_plane& c, const base::deployment_id& id)
{
    const auto found = c.planners_.find(id);
    if (found != c.planners_.end())
        return found->second;
    return c.planners_
        .emplace(
            id, placement::planner(id, {}, [&c] { return allocate_epoch(c); }))
        .first->second;
}


asio::awaitable<void>
step_deployment(control_plane& c, const catalog::deployment& d)
{
    placement::planner& planner = planner_of(c, d.id_);
    const auto retiring = planner.retiring_heads();
    const fleet::host_table hosts = placed_hosts(c);
    const auto orders = planner.step(make_planner_input(c, d, hosts));
    if (retiring != planner.retiring_heads())
        publish_view(c);
    if (orders.empty())
        co_return;
    // Hosts may be removed while confirm_leadership waits for the store.
    std::vector<std::optional<asio::ip::tcp::endpoint>> addresses;
    addresses.reserve(orders.size());
    for (const placement::order& o : orders)
        addresses.push_back(address_of(c, o.host_));
    const std::uint64_t term = c.leader_.term_;
    const bool confirmed = co_await confirm_leadership(c);
    if (!c.leader_.leading_ || c.leader_.term_ != term)
        co_return;
    for (std::size_t i = 0; i < orders.size(); ++i)
        asio::co_spawn(
            c.context_,
            send_order(
                c, d.id_, orders[i], confirmed ? addresses[i] : std::nullopt),
            asio::detached);
}


asio::awaitable<void> step_deployments(control_plane& c)
{
    const auto catalog = c.catalog_.catalog_;
    if (catalog == nullptr || !c.hosts_.loaded_)
        co_return;
    for (const auto& [id, d] : catalog->deployments_) {
        if (d.engine_)
            co_await step_deployment(c, d);
        if (!c.leader_.leading_)
            co_return;
    }
}

} // namespace

asio::awaitable<void> run_placement(control_plane& c)
{
    for (;;) {
        const leader_state& l = c.leader_;
        if (l.leading_ && !c.stopping_ &&
            base::boot_clock::now() >= l.orders_allowed_at_)
            co_await step_deployments(c);
        c.placement_timer_.expires_after(step_period);
        co_await c.placement_timer_.async_wait(base::await_tuple);
    }
}

} // namespace monsoondock::entry::pvt
