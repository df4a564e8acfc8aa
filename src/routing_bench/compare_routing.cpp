#include "engine_model.hpp"
#include "experiments.hpp"
#include "statistics.hpp"

#include <monsoondock/quarantine/confinement.hpp>
#include <monsoondock/routing/router.hpp>

#include <cmath>
#include <cstdio>
#include <memory>
#include <random>
#include <vector>

namespace monsoondock::routing_bench {

namespace {

using routing::routing_policy;

constexpr int DAEMONS = 8;
constexpr int GROUPS = 22;
constexpr unsigned SLOTS = 16;
constexpr int PREFIXES = 400;
constexpr double MEAN_TOKENS = 60;
constexpr double STRAGGLER_SLOWDOWN = 4;
// Requests per second that occupy all slots when most prefixes miss.
constexpr double CAPACITY_PER_SECOND = 72;
constexpr std::chrono::milliseconds REPORT_PERIOD{250};
constexpr std::chrono::milliseconds REPORT_DELAY{250};
constexpr std::chrono::seconds WARM_UP_PERIOD{60};


struct load_shape
{
    const char* name_;
    double load_ = 0.7;
    double prefix_skew_ = 0;
    bool straggler_ = false;
    // Load in every other period of 30 s; 0: no bursts.
    double burst_load_ = 0;
};


struct policy_variant
{
    const char* name_;
    routing_policy policy_;
    // Requests run only on the quarantine::CONFINED_GROUPS groups (two) that
    // quarantine confines them to.
    bool confined_ = false;
    // While these groups are full, further ones are used in ranking order.
    bool spills_over_ = false;
};


struct outcome
{
    std::vector<std::chrono::nanoseconds> first_token_;
    long hits_ = 0;
};


std::string numbered_name(std::string prefix, int n)
{
    return prefix.append(std::to_string(n));
}


// Simulates daemons that route open-loop arrivals to engine models.
class routing_simulation
{
public:
    routing_simulation(
        const load_shape& shape, const policy_variant& v, const run_options& o)
        : shape_(shape), variant_(v), end_(WARM_UP_PERIOD + o.length_),
          random_(o.seed_), prefixes_(make_prefix_weights(shape.prefix_skew_))
    {
        for (int g = 0; g < GROUPS; ++g)
            add_group(g);
        for (int d = 0; d < DAEMONS; ++d)
            routers_.emplace_back(
                v.policy_, base::data_centre_id{"dc"}, o.seed_ * 100 + d);
    }

    outcome run()
    {
        publish_load_reports();
        schedule_arrival();
        scheduler_.run_until(base::time_point(end_));
        return std::move(outcome_);
    }

private:
    static std::discrete_distribution<int> make_prefix_weights(double skew)
    {
        std::vector<double> weights;
        weights.reserve(PREFIXES);
        for (int i = 1; i <= PREFIXES; ++i)
            weights.push_back(1 / std::pow(i, skew));
        return {weights.begin(), weights.end()};
    }

    void add_group(int g)
    {
        const bool slow = shape_.straggler_ && g == 0;
        engines_.push_back(std::make_unique<engine_model>(
            scheduler_, SLOTS, slow ? STRAGGLER_SLOWDOWN : 1));
        routing::group_view view;
        view.group_ = {numbered_name("g", g)};
        view.data_centre_ = {"dc"};
        view.slots_ = SLOTS;
        views_.push_back(view);
    }

    void publish_load_reports()
    {
        std::vector<routing::load_report> reports;
        reports.reserve(engines_.size());
        for (const auto& engine : engines_)
            reports.push_back(engine->load());
        scheduler_.run_after(REPORT_DELAY, [this, reports] {
            for (std::size_t g = 0; g < reports.size(); ++g)
                views_[g].report_ = reports[g];
        });
        scheduler_.run_after(REPORT_PERIOD, [this] { publish_load_reports(); });
    }

    double load_now() const
    {
        const auto half_minutes =
            std::chrono::duration_cast<std::chrono::seconds>(
                scheduler_.now().time_since_epoch())
                .count() /
            30;
        const bool burst = shape_.burst_load_ > 0 && half_minutes % 2 == 1;
        return burst ? shape_.burst_load_ : shape_.load_;
    }

    void schedule_arrival()
    {
        std::exponential_distribution<double> gap(
            CAPACITY_PER_SECOND * load_now());
        scheduler_.run_after(seconds_to_duration(gap(random_)), [this] {
            send_request();
            schedule_arrival();
        });
    }

    const routing::group_view& view_of(const base::group_id& group) const
    {
        return views_[std::stoul(group.value_.substr(1))];
    }

    static bool all_full(const std::vector<routing::group_view>& groups)
    {
        for (const auto& g : groups)
            if (g.report_.running_ + g.report_.queued_ < g.slots_)
                return false;
        return true;
    }

    std::vector<routing::group_view> usable_views(
        const routing::router& router,
        const std::string& prefix,
        int content) const
    {
        if (!variant_.confined_)
            return views_;
        std::vector<base::group_id> groups;
        groups.reserve(views_.size());
        const auto ejected = router.ejected(views_.size(), scheduler_.now());
        for (const auto& view : views_)
            if (!ejected.contains(view.group_))
                groups.push_back(view.group_);
        const auto ranked = quarantine::rank_groups(
            {numbered_name("body", content)}, prefix, groups);
        std::vector<routing::group_view> usable;
        for (const base::group_id& group : ranked) {
            const bool enough = usable.size() >= quarantine::CONFINED_GROUPS;
            if (enough && !(variant_.spills_over_ && all_full(usable)))
                break;
            usable.push_back(view_of(group));
        }
        return usable;
    }

    void send_request()
    {
        const int daemon =
            std::uniform_int_distribution<int>(0, DAEMONS - 1)(random_);
        const std::string prefix = numbered_name("p", prefixes_(random_));
        auto& router = routers_[daemon];
        const auto usable = usable_views(router, prefix, ++sent_);
        const auto choice = router.choose(prefix, usable, scheduler_.now());
        const auto group = usable[choice->index_].group_;
        router.dispatched(group, scheduler_.now());
        const int g = std::stoi(group.value_.substr(1));
        std::exponential_distribution<double> tokens(1 / MEAN_TOKENS);
        engine_job job;
        job.prefix_ = prefix;
        job.tokens_ = 1 + static_cast<unsigned>(tokens(random_));
        job.on_first_token_ = [this, sent_at = scheduler_.now()](bool hit) {
            record_first_token(sent_at, hit);
        };
        job.on_end_ = [this, daemon, group](std::chrono::nanoseconds interval) {
            routers_[daemon].finished(group, scheduler_.now());
            routers_[daemon].observe(group, interval, scheduler_.now());
        };
        engines_[g]->submit(std::move(job));
    }

    void record_first_token(base::time_point sent_at, bool hit)
    {
        if (sent_at < base::time_point(WARM_UP_PERIOD))
            return;
        outcome_.first_token_.push_back(scheduler_.now() - sent_at);
        outcome_.hits_ += hit;
    }

    load_shape shape_;
    policy_variant variant_;
    std::chrono::seconds end_;
    std::mt19937_64 random_;
    std::discrete_distribution<int> prefixes_;
    event_scheduler scheduler_;
    std::vector<std::unique_ptr<engine_model>> engines_;
    std::vector<routing::group_view> views_;
    std::vector<routing::router> routers_;
    outcome outcome_;
    int sent_ = 0;
};


void print_row(const load_shape& s, const policy_variant& v, const outcome& o)
{
    const auto count = static_cast<double>(o.first_token_.size());
    std::printf(
        "| %s | %s | %.0f | %.0f | %.0f | %.0f | %.1f |\n",
        s.name_,
        v.name_,
        count,
        milliseconds_of(percentile(o.first_token_, 0.5)),
        milliseconds_of(percentile(o.first_token_, 0.95)),
        milliseconds_of(percentile(o.first_token_, 0.99)),
        100 * static_cast<double>(o.hits_) / count);
}

} // namespace


void compare_routing(const run_options& options)
{
    const std::vector<load_shape> shapes{
        {"even", 0.7, 0, false, 0},
        {"skewed prefixes", 0.7, 1, false, 0},
        {"skewed, one straggler", 0.7, 1, true, 0},
        {"skewed, bursts to 1.1", 0.5, 1, false, 1.1},
    };
    const std::vector<policy_variant> variants{
        {"round_robin", routing_policy::round_robin},
        {"random", routing_policy::random},
        {"least_connections", routing_policy::least_connections},
        {"two_choices", routing_policy::two_choices},
        {"prefix_affinity", routing_policy::prefix_affinity},
        {"prefix_affinity, confined", routing_policy::prefix_affinity, true},
        {"prefix_affinity, confined, spills",
         routing_policy::prefix_affinity,
         true,
         true},
    };
    std::printf("\nfirst token and prefix hits\n\n");
    std::printf("| load | policy | requests | p50 ms | p95 ms | p99 ms "
                "| hits %% |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const load_shape& shape : shapes)
        for (const policy_variant& v : variants)
            print_row(shape, v, routing_simulation(shape, v, options).run());
}

} // namespace monsoondock::routing_bench
