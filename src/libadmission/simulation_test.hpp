#pragma once

#include <monsoondock/admission/model_admission.hpp>
#include <monsoondock/catalog/engine.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace monsoondock::admission::test {

/// Requests of one kind that callers send.
struct request_kind
{
    std::string name_;
    std::string workspace_;
    unsigned priority_ = 0;
    milliseconds target_{500};
    milliseconds deadline_{8000};
    double prompt_tokens_ = 700;
    /// Requests per second, as a part of what the upstreams complete.
    double load_ = 0;
    /// Factor of the load from burst_begin_ to burst_end_.
    double burst_ = 1;
    milliseconds burst_begin_{0};
    milliseconds burst_end_{0};
    /// Amplitude of a periodic variation, as a part of the load.
    double variation_ = 0;
};


/// Injected fault of the admission.
enum class variant
{
    correct,
    /// All requests are admitted.
    admit_all,
    /// A request is refused when three wait at every group.
    previous_limit,
    /// No workspace is over its share.
    no_shares,
    /// All refused callers return after the same time.
    same_return,
    /// A request is refused because its own prompt is large.
    refuse_large,
    /// All requests count as equally urgent.
    no_priorities
};


/// What became of the callers of a kind.
struct outcome
{
    std::size_t callers_ = 0;
    std::size_t on_time_ = 0;
    std::size_t late_ = 0;
    /// Refused twice, or not begun before the deadline.
    std::size_t unserved_ = 0;
    std::size_t refusals_ = 0;
    /// Responses that began within the predicted time.
    std::size_t as_predicted_ = 0;
};


struct simulation_options
{
    std::vector<request_kind> kinds_;
    variant variant_ = variant::correct;
    std::size_t daemons_ = 8;
    std::size_t groups_ = 6;
    milliseconds report_age_{150};
    milliseconds time_{20000};
    std::uint64_t seed_ = 1;
};


/// Simulation of daemons that admit the requests of callers, choose a group for
/// each, and know each other's loads from reports. Groups admit requests in the
/// order of their priority and send events between scheduling passes. A caller
/// that was refused returns once, to any daemon.
class simulation
{
public:
    explicit simulation(simulation_options options);


    /// Runs the simulation. Returns the outcomes by the name of the kind.
    std::map<std::string, outcome> run();


    /// Largest number of callers that returned within the same 50 ms.
    std::size_t most_returns() const
    {
        return most_returns_;
    }

private:
    struct caller
    {
        std::size_t kind_ = 0;
        std::uint64_t fingerprint_ = 0;
        milliseconds began_{0};
        std::size_t daemon_ = 0;
        double tokens_left_ = 0;
        bool returned_ = false;
        bool served_ = false;
        milliseconds predicted_{0};
    };

    struct group
    {
        std::map<unsigned, std::deque<caller>> waiting_;
        std::vector<caller> running_;
        bool in_pass_ = false;
        milliseconds pass_end_{0};
    };

    double random();
    void send_new_callers();
    void send_returning_callers();
    void arrive(caller c);
    decision decide(const caller& c, std::size_t daemon);
    decision decide_by_queue(std::size_t daemon);
    std::size_t choose_group(std::size_t daemon);
    double known_load(std::size_t daemon, std::size_t group) const;
    void report_loads();
    void end_pass(group& g, std::size_t index);
    void begin_pass(group& g, std::size_t index);
    void finish(const caller& c, std::size_t group);

    simulation_options options_;
    std::mt19937_64 random_;
    catalog::engine engine_;
    service_times times_;
    double capacity_ = 0;
    milliseconds now_{0};
    std::vector<model_admission> admissions_;
    std::vector<group> groups_;
    // Requests in progress by daemon and group, now and as of the last report.
    std::vector<std::vector<double>> in_flight_;
    std::vector<std::vector<double>> reported_;
    std::vector<double> reported_total_;
    milliseconds reported_at_{-1000};
    std::multimap<milliseconds, caller> returning_;
    std::map<std::string, outcome> outcomes_;
    std::uint64_t last_fingerprint_ = 0;
    std::size_t returns_in_window_ = 0;
    std::size_t most_returns_ = 0;
    milliseconds window_end_{0};
};

} // namespace monsoondock::admission::test
