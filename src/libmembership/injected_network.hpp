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

/// What the network does to datagrams, as probabilities and delays.
struct network_faults
{
    double loss_ = 0;
    double duplication_ = 0;
    std::chrono::milliseconds shortest_delay_{1};
    std::chrono::milliseconds longest_delay_{5};
};


/// Bytes and datagrams of one node, with IP and UDP headers.
struct traffic
{
    std::uint64_t datagrams_ = 0;
    std::uint64_t bytes_ = 0;
};


/// Nodes of one process that exchange datagrams in injected time. For tests
/// and measurements.
class injected_network
{
public:
    /// Bytes that IPv4 and UDP add to each datagram.
    static constexpr std::size_t header_bytes = 28;
    static constexpr std::chrono::milliseconds tick_period{100};

    struct host
    {
        std::optional<node> node_;
        /// Side of a partition; datagrams pass only within one side.
        int side_ = 0;
        bool paused_ = false;
        /// Raised at each start, so that ticks of an earlier life stop.
        int life_ = 0;
        std::vector<datagram> buffered_;
        traffic traffic_;
    };

    using observer = std::function<void(
        std::size_t host, const member_event& event, base::time_point now)>;


    injected_network(std::size_t hosts, node_config config, std::uint64_t seed)
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


    /// Starts the daemon of a host in a new life.
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
        ++h.life_;
        schedule_tick(index, now_ + random_delay(tick_period));
    }


    /// Ends the daemon of a host without a word.
    void kill(std::size_t index)
    {
        host& h = hosts_[index];
        h.node_.reset();
        h.paused_ = false;
        ++h.life_;
    }


    /// Stops a daemon; datagrams wait for it.
    void pause(std::size_t index)
    {
        hosts_[index].paused_ = true;
    }


    /// Lets a paused daemon go on.
    void resume(std::size_t index)
    {
        host& h = hosts_[index];
        h.paused_ = false;
        for (const datagram& d : std::exchange(h.buffered_, {}))
            deliver(index, d);
    }


    /// Lets time pass.
    void run(base::duration length)
    {
        const base::time_point end = now_ + length;
        while (!queue_.empty() && queue_.top().at_ <= end) {
            const occurrence next = queue_.top();
            queue_.pop();
            now_ = next.at_;
            if (next.datagram_)
                deliver(next.host_, *next.datagram_);
            else
                tick(next.host_, next.life_);
        }
        now_ = end;
    }


    /// Performs a step of a node that its owner asks for.
    template <class Step>
    void act(std::size_t index, Step step)
    {
        take(index, step(*hosts_[index].node_, now_));
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
    struct occurrence
    {
        base::time_point at_;
        std::uint64_t order_ = 0;
        std::size_t host_ = 0;
        int life_ = 0;
        std::optional<datagram> datagram_;

        friend bool operator<(const occurrence& a, const occurrence& b)
        {
            return std::pair(b.at_, b.order_) < std::pair(a.at_, a.order_);
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


    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }


    void schedule_tick(std::size_t index, base::time_point at)
    {
        queue_.push({at, ++order_, index, hosts_[index].life_, std::nullopt});
    }


    void tick(std::size_t index, int life)
    {
        host& h = hosts_[index];
        if (!h.node_ || h.life_ != life)
            return;
        schedule_tick(index, now_ + tick_period);
        if (!h.paused_)
            take(index, h.node_->tick(now_));
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
        count(h, d);
        take(index, h.node_->handle(d, now_));
    }


    void count(host& h, const datagram& d) const
    {
        ++h.traffic_.datagrams_;
        h.traffic_.bytes_ += d.body_.size() + header_bytes + envelope_bytes_;
    }


    void take(std::size_t index, const node_output& out)
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
        count(hosts_[index], d);
        const std::size_t to = d.peer_.address_ - address(0).address_;
        if (to >= hosts_.size() || hosts_[to].side_ != hosts_[index].side_)
            return;
        const int copies = chance(faults_.duplication_) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (!chance(faults_.loss_))
                enqueue(index, to, d.body_);
        }
    }


    void enqueue(std::size_t from, std::size_t to, const std::string& body)
    {
        const base::duration delay =
            faults_.shortest_delay_ +
            random_delay(faults_.longest_delay_ - faults_.shortest_delay_);
        queue_.push(
            {now_ + delay, ++order_, to, 0, datagram{address(from), body}});
    }


    node_config config_;
    std::mt19937_64 random_;
    base::time_point now_{std::chrono::hours(1)};
    std::uint64_t order_ = 0;
    std::priority_queue<occurrence> queue_;
};

} // namespace monsoondock::membership
