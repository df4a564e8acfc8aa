// Measures traffic, processor time, memory and propagation times of the
// membership protocol per daemon, on a simulated network in one process:
//   membership_bench [MEMBERS...]

#include "simulated_network.hpp"

#include <monsoondock/wire/limits.hpp>
#include <monsoondock/wire/opener.hpp>
#include <monsoondock/wire/sealer.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

using namespace monsoondock;
using namespace monsoondock::membership;
using namespace std::chrono_literals;

namespace {

using fractional_seconds = std::chrono::duration<double>;

constexpr std::uint64_t SEED = 1;
constexpr int TRIALS = 5;


double process_cpu_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}


double heap_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}


double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return -1;
    std::sort(values.begin(), values.end());
    const double last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(last * share)];
}


/// Processor time to seal and open one datagram with a body of 280 bytes.
double envelope_cpu_seconds()
{
    constexpr int rounds = 100000;
    const wire::key_ring keys{{1, "a secret of some length"}, std::nullopt};
    wire::sealer sealer({"entry-0001"}, 1, keys);
    wire::opener opener(keys);
    const std::string body(280, 'x');
    const double before = process_cpu_seconds();
    for (int i = 0; i < rounds; ++i) {
        const auto sealed =
            sealer.seal(wire::channel::membership, "10.0.0.1:7000", body);
        const auto outcome =
            opener.open(sealed, "10.0.0.1:7000", wire::MAX_DATAGRAM_BYTES, {});
        if (!std::holds_alternative<wire::envelope>(outcome))
            std::abort();
    }
    return (process_cpu_seconds() - before) / rounds;
}


std::size_t envelope_bytes()
{
    wire::sealer sealer({"entry-0001"}, 1, {{1, "secret"}, std::nullopt});
    return sealer.seal(wire::channel::membership, "10.0.0.1:7000", "").size();
}


/// Simulated cluster of a given size under measurement.
class scenario
{
public:
    explicit scenario(std::size_t members) : net_(members, {}, SEED)
    {
        net_.envelope_bytes_ = envelope_bytes();
        for (std::size_t i = 0; i < members; ++i)
            net_.start(i);
        net_.run(120s);
    }


    /// Runs the cluster for length, restarts one member every restart_interval,
    /// publishes a settings revision every settings_interval and changes all
    /// loads every second.
    void run_busy(
        base::duration length,
        base::duration restart_interval,
        base::duration settings_interval)
    {
        const base::time_point end = net_.now() + length;
        base::time_point next_restart = net_.now() + restart_interval;
        base::time_point next_settings_change = net_.now() + settings_interval;
        base::time_point next_load = net_.now();
        while (net_.now() < end) {
            if (net_.now() >= next_restart) {
                next_restart += restart_interval;
                restart_one();
            }
            if (net_.now() >= next_settings_change) {
                next_settings_change += settings_interval;
                publish_new_revision(random_() % size());
            }
            if (net_.now() >= next_load) {
                next_load += 1s;
                randomize_loads();
            }
            net_.run(100ms);
            apply_highest_revisions();
        }
    }


    /// Returns, over all trials, the time in seconds until each other member
    /// regards a killed one as dead.
    std::vector<double> death_detection_times()
    {
        std::vector<double> times;
        for (int trial = 0; trial < TRIALS; ++trial) {
            const std::size_t killed_host = random_() % size();
            net_.kill(killed_host);
            const base::time_point killed = net_.now();
            std::vector<bool> seen(size());
            net_.observer_ = [&](auto host, const auto& event, auto now) {
                const auto* const change = std::get_if<member_changed>(&event);
                if (!change || change->record_.id_ != net_.name(killed_host) ||
                    change->record_.state_ != member_state::dead || seen[host])
                    return;
                seen[host] = true;
                times.push_back(fractional_seconds(now - killed).count());
            };
            net_.run(25s);
            net_.observer_ = {};
            net_.start(killed_host);
            net_.run(5s);
        }
        return times;
    }


    /// Returns, over all trials, the time in seconds until each other member
    /// learns of a new settings revision.
    std::vector<double> revision_propagation_times()
    {
        std::vector<double> times;
        for (int trial = 0; trial < TRIALS; ++trial) {
            const base::time_point set = net_.now();
            net_.observer_ = [&](auto, const auto& event, auto now) {
                if (std::holds_alternative<revision_seen>(event))
                    times.push_back(fractional_seconds(now - set).count());
            };
            publish_new_revision(random_() % size());
            net_.run(5s);
            net_.observer_ = {};
        }
        return times;
    }


    /// Returns, over all trials, the time in seconds until each other member
    /// learns that a member drains.
    std::vector<double> drain_propagation_times()
    {
        std::vector<double> times;
        for (int trial = 0; trial < TRIALS; ++trial) {
            const std::size_t drained = random_() % size();
            const base::time_point set = net_.now();
            net_.observer_ = [&](auto, const auto& event, auto now) {
                const auto* const change = std::get_if<status_changed>(&event);
                if (change && change->id_ == net_.name(drained))
                    times.push_back(fractional_seconds(now - set).count());
            };
            set_mode(drained, entry_mode::draining);
            net_.run(5s);
            net_.observer_ = {};
            set_mode(drained, entry_mode::open);
            net_.run(5s);
        }
        return times;
    }


    /// Kills the first count hosts, as in the failure of a data centre,
    /// restarts them and returns the most bytes that one daemon exchanged in a
    /// second.
    double peak_rejoin_bytes(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            net_.kill(i);
        net_.run(30s);
        for (std::size_t i = 0; i < count; ++i)
            net_.start(i);
        std::uint64_t peak = 0;
        for (int second = 0; second < 20; ++second) {
            clear_traffic();
            net_.run(1s);
            for (const auto& host : net_.hosts_)
                peak = std::max(peak, host.traffic_.bytes_);
        }
        return static_cast<double>(peak);
    }


    void clear_traffic()
    {
        for (auto& host : net_.hosts_)
            host.traffic_ = {};
    }


    traffic mean_traffic() const
    {
        traffic sum;
        for (const auto& host : net_.hosts_) {
            sum.bytes_ += host.traffic_.bytes_;
            sum.datagrams_ += host.traffic_.datagrams_;
        }
        return {sum.datagrams_ / size(), sum.bytes_ / size()};
    }


    std::size_t size() const
    {
        return net_.hosts_.size();
    }

private:
    void restart_one()
    {
        const std::size_t host = random_() % size();
        net_.perform(host, [](node& n, auto now) { return n.leave(now); });
        net_.run(200ms);
        net_.perform(host, [](node& n, auto now) { return n.depart(now); });
        net_.kill(host);
        net_.start(host);
    }


    void set_status(std::size_t host, const member_status& status)
    {
        net_.perform(
            host, [&](node& n, auto now) { return n.set_status(status, now); });
    }


    void set_mode(std::size_t host, entry_mode mode)
    {
        member_status status = net_.hosts_[host].node_->self().status_;
        status.entry_mode_ = mode;
        set_status(host, status);
    }


    void publish_new_revision(std::size_t host)
    {
        member_status status = net_.hosts_[host].node_->self().status_;
        status.settings_revision_ = ++revision_;
        set_status(host, status);
    }


    void apply_highest_revisions()
    {
        for (std::size_t host = 0; host < size(); ++host) {
            const node& n = *net_.hosts_[host].node_;
            member_status status = n.self().status_;
            if (status.settings_revision_ == n.highest_revision())
                continue;
            status.settings_revision_ = n.highest_revision();
            set_status(host, status);
        }
    }


    void randomize_loads()
    {
        for (std::size_t host = 0; host < size(); ++host) {
            member_status status = net_.hosts_[host].node_->self().status_;
            status.load_permille_ =
                static_cast<std::uint16_t>(random_() % 1000);
            set_status(host, status);
        }
    }


    simulated_network net_;
    std::mt19937_64 random_{SEED};
    std::uint64_t revision_ = 0;
};


void measure(std::size_t members, double envelope_cpu)
{
    constexpr auto busy_time = 100s;
    const double heap_before = heap_bytes();
    scenario s(members);
    const double pairs = static_cast<double>(members * (members - 1));
    const double bytes_per_member = (heap_bytes() - heap_before) / pairs;

    s.clear_traffic();
    const double cpu_before = process_cpu_seconds();
    s.run_busy(busy_time, 50s, 11s);
    const double cpu = process_cpu_seconds() - cpu_before;
    const traffic busy = s.mean_traffic();
    const double length = fractional_seconds(busy_time).count();
    const double datagrams = static_cast<double>(busy.datagrams_) / length;
    const double bytes = static_cast<double>(busy.bytes_) / length;
    const double node_cpu_share = cpu / length / static_cast<double>(members);
    // Each datagram is sealed by one side and opened by the other.
    const double cpu_share = node_cpu_share + envelope_cpu * datagrams / 2;

    const auto deaths = s.death_detection_times();
    const auto revisions = s.revision_propagation_times();
    const auto drains = s.drain_propagation_times();
    const double peak =
        s.peak_rejoin_bytes(std::max<std::size_t>(1, members / 15));
    std::printf(
        "%8zu %12.1f %9.0f %11.0f %10.4f %12.0f %7.2f %7.2f %8.3f %8.3f "
        "%8.3f %8.3f\n",
        members,
        datagrams,
        bytes,
        peak,
        cpu_share * 100,
        bytes_per_member,
        percentile(deaths, 0.5),
        percentile(deaths, 1),
        percentile(revisions, 0.5),
        percentile(revisions, 1),
        percentile(drains, 0.5),
        percentile(drains, 1));
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    if (sizes.empty())
        sizes = {8, 32, 128, 470};
    const double envelope_cpu = envelope_cpu_seconds();
    std::printf(
        "envelope: %zu bytes, %.2f us to seal and open\n",
        envelope_bytes(),
        envelope_cpu * 1e6);
    std::printf(
        " members  datagrams/s   bytes/s peak bytes/s  core %%  bytes/member "
        "death50  max_s  revis50    max_s  drain50    max_s\n");
    for (const std::size_t members : sizes)
        measure(members, envelope_cpu);
    return 0;
}
