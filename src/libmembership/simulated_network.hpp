#pragma once

#include <monsoondock/membership/node.hpp>

#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace monsoondock::membership {

/// Faults and delays that the simulated network applies to datagrams.
struct network_faults
{
    double loss_probability_ = 0;
    double duplication_probability_ = 0;
    std::chrono::milliseconds min_delay_{1};
    std::chrono::milliseconds max_delay_{5};
};


/// Datagrams and bytes that one node sent and received, with IP and UDP
/// headers.
struct traffic
{
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;
};


/// Simulates nodes that exchange datagrams under a virtual clock, in one
/// process. For tests and benchmarks.
class simulated_network
{
public:
    /// Bytes that IPv4 and UDP add to each datagram.
    static constexpr std::size_t header_bytes = 28;
    static constexpr std::chrono::milliseconds tick_period{100};

    struct host
    {
        std::optional<node> node_;
        /// Network partition of the host; datagrams pass only within a
        /// partition.
        int partition_ = 0;
        bool paused_ = false;
        /// Incremented at each start and kill, so that ticks scheduled for an
        /// earlier run are dropped.
        int run_number_ = 0;
        std::vector<datagram> buffered_;
        traffic traffic_;
    };

    using observer = std::function<void(
        std::size_t host, const member_event& event, base::time_point now)>;


    simulated_network(std::size_t hosts, node_config config, std::uint64_t seed)
        : hosts_(hosts), config_(config), random_(seed)
    {}


    /// Returns the name of the daemon on a host.
    static base::daemon_id name(std::size_t host)
    {
        const std::string digits = std::to_string(host);
        return {std::string("entry-").append(4 - digits.size(), '0') + digits};
    }


    /// Returns the peer endpoint of the daemon on a host.
    static endpoint address(std::size_t host)
    {
        return {
            0x0a000000U + static_cast<std::uint32_t>(host),
            static_cast<std::uint16_t>(7000)};
    }


    /// Starts the daemon of a host with a higher incarnation than before.
    void start(std::size_t index)
    {
        host& h = hosts_[index];
        member_record self;
        self.id_ = name(index);
        self.data_centre_ = {"dc-" + std::to_string(index % 15)};
        self.region_ = {"region-" + std::to_string(index % 5)};
        self.peer_ = address(index);
        self.caller_ = {self.peer_.address_, 8000};
        const auto ms = now_.time_since_epoch() / std::chrono::milliseconds(1);
        self.incarnation_ = {static_cast<std::uint64_t>(ms) + 1};
        h.node_.emplace(config_, self, seeds(), random_());
        h.paused_ = false;
        h.buffered_.clear();
        ++h.run_number_;
        schedule_tick(index, now_ + random_delay(tick_period));
    }


    /// Ends the daemon of a host without an announcement.
    void kill(std::size_t index)
    {
        host& h = hosts_[index];
        h.node_.reset();
        h.paused_ = false;
        ++h.run_number_;
    }


    /// Pauses a daemon; datagrams to it are buffered.
    void pause(std::size_t index)
    {
        hosts_[index].paused_ = true;
    }


    /// Resumes a paused daemon and delivers the buffered datagrams.
    void resume(std::size_t index)
    {
        host& h = hosts_[index];
        h.paused_ = false;
        for (const datagram& d : std::exchange(h.buffered_, {}))
            deliver(index, d);
    }


    /// Advances the virtual clock and processes what is due.
    void run(base::duration duration)
    {
        const base::time_point end = now_ + duration;
        while (!queue_.empty() && queue_.top().due_at_ <= end) {
            const scheduled_action next = queue_.top();
            queue_.pop();
            now_ = next.due_at_;
            if (next.datagram_)
                deliver(next.host_, *next.datagram_);
            else
                tick(next.host_, next.run_number_);
        }
        now_ = end;
    }


    /// Calls step on the node of a host and processes its output.
    template <class Step>
    void perform(std::size_t index, Step step)
    {
        process_output(index, step(*hosts_[index].node_, now_));
    }


    base::time_point now() const
    {
        return now_;
    }


    std::vector<host> hosts_;
    network_faults faults_;
    observer observer_;
    /// Bytes that the envelope adds to each datagram.
    std::size_t envelope_bytes_ = 0;

private:
    struct scheduled_action
    {
        base::time_point due_at_;
        std::uint64_t order_ = 0;
        std::size_t host_ = 0;
        int run_number_ = 0;
        std::optional<datagram> datagram_;

        friend bool
        operator<(const scheduled_action& a, const scheduled_action& b)
        {
            return std::pair(b.due_at_, b.order_) <
                   std::pair(a.due_at_, a.order_);
        }
    };


    std::vector<endpoint> seeds() const
    {
        std::vector<endpoint> all;
        for (std::size_t i = 0; i < std::min<std::size_t>(8, hosts_.size());
             ++i)
            all.push_back(address(i));
        return all;
    }


    base::duration random_delay(base::duration limit)
    {
        std::uniform_int_distribution<base::duration::rep> any(
            0, limit.count());
        return base::duration(any(random_));
    }


    bool happens(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }


    void schedule_tick(std::size_t index, base::time_point at)
    {
        queue_.push(
            {at, ++order_, index, hosts_[index].run_number_, std::nullopt});
    }


    void tick(std::size_t index, int run_number)
    {
        host& h = hosts_[index];
        if (!h.node_ || h.run_number_ != run_number)
            return;
        schedule_tick(index, now_ + tick_period);
        if (!h.paused_)
            process_output(index, h.node_->tick(now_));
    }


    void deliver(std::size_t index, const datagram& d)
    {
        constexpr std::size_t socket_buffer_datagrams = 200;
        host& h = hosts_[index];
        if (!h.node_)
            return;
        if (h.paused_) {
            if (h.buffered_.size() < socket_buffer_datagrams)
                h.buffered_.push_back(d);
            return;
        }
        record_traffic(h, d);
        process_output(index, h.node_->handle(d, now_));
    }


    void record_traffic(host& h, const datagram& d) const
    {
        ++h.traffic_.datagrams_;
        h.traffic_.bytes_ += d.body_.size() + header_bytes + envelope_bytes_;
    }


    void process_output(std::size_t index, const node_output& out)
    {
        for (const member_event& event : out.events_) {
            if (observer_)
                observer_(index, event, now_);
        }
        for (const datagram& d : out.datagrams_)
            transmit(index, d);
    }


    void transmit(std::size_t index, const datagram& d)
    {
        record_traffic(hosts_[index], d);
        const std::size_t to = d.peer_.address_ - address(0).address_;
        if (to >= hosts_.size() ||
            hosts_[to].partition_ != hosts_[index].partition_)
            return;
        const int copies = happens(faults_.duplication_probability_) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (!happens(faults_.loss_probability_))
                enqueue(index, to, d.body_);
        }
    }


    void enqueue(std::size_t from, std::size_t to, const std::string& body)
    {
        const base::duration delay =
            faults_.min_delay_ +
            random_delay(faults_.max_delay_ - faults_.min_delay_);
        queue_.push(
            {now_ + delay, ++order_, to, 0, datagram{address(from), body}});
    }


    node_config config_;
    std::mt19937_64 random_;
    base::time_point now_{std::chrono::hours(1)};
    std::uint64_t order_ = 0;
    std::priority_queue<scheduled_action> queue_;
};

} // namespace monsoondock::membership
