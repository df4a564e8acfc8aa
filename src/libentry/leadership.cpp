#include "control_plane.hpp"
#include "election.hpp"
#include "leader_record.hpp"
#include "peer_topology.hpp"

#include <monsoondock/base/event_line.hpp>

#include <algorithm>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

// Store key of the leader record, "kind/name". No other program uses the kind.
constexpr const char* record_key = "leaders/placement";
constexpr std::chrono::milliseconds leadership_poll_period{100};
constexpr std::chrono::milliseconds heartbeat_period{250};
// On the first start of the system there is no leader to wait for, so all
// daemons try within this time.
constexpr std::chrono::milliseconds max_first_delay{80};
// A leader that has not reached the store for this time stops its heartbeats,
// so that another daemon takes over.
constexpr std::chrono::milliseconds max_store_outage{2500};
// Period at which a daemon without live peers reads the leader record.
constexpr std::chrono::milliseconds discovery_period{700};
// Number of epochs that one write of the leader record reserves.
constexpr std::uint64_t epoch_block_size = 10000;
// Minimum time between writes of the leader record for the sake of its parts.
constexpr std::chrono::milliseconds parts_record_period{1000};
// Number of leaders whose records may be missing from a copy of the store that
// is some seconds old.
constexpr std::uint64_t max_lost_leaders = 16;


std::size_t election_rank(const control_plane& c)
{
    return leadership_rank(c.node_.members(), c.node_.self());
}


// Returns true on the first start of the system while no leader is known.
bool is_initial_election(const control_plane& c)
{
    return c.config_.first_start_ && c.leader_.term_ == 0 &&
           base::boot_clock::now() - c.started_at_ < heartbeat_timeout;
}


bool election_is_due(const control_plane& c)
{
    const leader_state& l = c.leader_;
    const leader_knowledge k{
        election_rank(c),
        l.term_,
        is_initial_election(c),
        l.resigned_,
        c.started_at_,
        l.last_heartbeat_at_,
        l.leader_store_contact_at_};
    return is_election_due(k, base::boot_clock::now());
}


// Returns the parts to keep in the leader record.
crashes::quarantine_list parts_to_record(const control_plane& c)
{
    crashes::quarantine_list list = c.parts_.known_.quarantined_;
    if (list.size() > max_recorded_parts)
        list.resize(max_recorded_parts);
    return list;
}


std::vector<crashes::prompt_part> parts_of(const crashes::quarantine_list& list)
{
    std::vector<crashes::prompt_part> parts;
    for (const crashes::quarantined_part& q : list)
        parts.push_back(q.part_);
    std::sort(parts.begin(), parts.end());
    return parts;
}


// Adds to a list the parts of another that it lacks.
void add_missing(
    crashes::quarantine_list& list, const crashes::quarantine_list& other)
{
    for (const crashes::quarantined_part& q : other) {
        const bool known =
            std::any_of(list.begin(), list.end(), [&](const auto& listed) {
                return listed.part_ == q.part_;
            });
        if (!known)
            list.push_back(q);
    }
}


// Takes over the parts of a stored record. They are known at once, so that a
// new leader does not write a record without them meanwhile.
void apply_recorded_parts(control_plane& c, const leader_record& r)
{
    if (r.quarantined_.empty())
        return;
    add_missing(c.parts_.known_.quarantined_, r.quarantined_);
    c.proxy_->apply_part_report({r.quarantined_, {}, {}});
}


// Returns true when the leader record is to be written because it lacks a part
// that is known by now, or has one that is not quarantined any longer.
bool parts_are_to_be_recorded(control_plane& c)
{
    const base::time_point now = base::boot_clock::now();
    if (parts_of(parts_to_record(c)) == c.parts_.recorded_ ||
        now - c.parts_.record_tried_at_ < parts_record_period)
        return false;
    c.parts_.record_tried_at_ = now;
    c.leader_.confirmed_at_ = {};
    return true;
}


leader_record make_record(control_plane& c)
{
    return {
        c.config_.daemon_.value_,
        settings::to_string(c.config_.peer_address_),
        c.leader_.term_,
        c.leader_.epoch_limit_,
        c.random_() >> 1U,
        c.store_.era(),
        parts_to_record(c)};
}


std::uint64_t highest_known_epoch(const control_plane& c)
{
    std::uint64_t highest = 0;
    for (const auto& [id, host] : c.hosts_.hosts_) {
        if (host.role_)
            highest = std::max(highest, host.role_->key_.epoch_);
    }
    return highest;
}


// Returns the record with which this daemon succeeds the leader of the stored
// one. Terms and epochs are higher than all that may have been used, also when
// the stored record is that of an older copy of the store.
leader_record
make_next_record(control_plane& c, const std::optional<leader_record>& stored)
{
    leader_record next = stored.value_or(leader_record{});
    if (stored && stored->era_ < c.store_.era()) {
        next.term_ += max_lost_leaders;
        next.epoch_limit_ += max_lost_leaders * epoch_block_size;
    }
    next.daemon_ = c.config_.daemon_.value_;
    next.peer_address_ = settings::to_string(c.config_.peer_address_);
    next.term_ = std::max(next.term_, c.leader_.term_) + 1;
    next.epoch_limit_ = std::max(
                            {next.epoch_limit_,
                             c.leader_.epoch_limit_,
                             highest_known_epoch(c) + 1}) +
                        epoch_block_size;
    next.nonce_ = c.random_() >> 1U;
    next.era_ = c.store_.era();
    next.quarantined_ = parts_to_record(c);
    if (stored)
        add_missing(next.quarantined_, stored->quarantined_);
    return next;
}


leader_heartbeat make_heartbeat(const control_plane& c)
{
    return {
        c.config_.daemon_,
        c.leader_.term_,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            base::boot_clock::now() - c.store_answered_at_),
        own_position(c)};
}


void assume_leadership(
    control_plane& c,
    const leader_record& r,
    platform::version v,
    bool is_first_leader)
{
    const base::time_point now = base::boot_clock::now();
    leader_state& l = c.leader_;
    l.leading_ = true;
    l.term_ = r.term_;
    l.leader_ = c.config_.daemon_;
    l.resigned_ = false;
    l.record_version_ = v;
    l.epoch_limit_ = r.epoch_limit_;
    l.next_epoch_ = r.epoch_limit_ - epoch_block_size;
    l.confirmed_at_ = now;
    c.parts_.recorded_ = parts_of(r.quarantined_);
    l.orders_allowed_at_ = is_first_leader ? now : now + takeover_delay;
    c.planners_.clear();
    base::event_line("leadership_gained")
        .field("daemon", c.config_.daemon_)
        .field("term", r.term_)
        .field("epochs_from", l.next_epoch_);
    broadcast_heartbeat(c, make_heartbeat(c));
}


// Writes the leader record. When the outcome of the write is unknown, reads the
// record back.
asio::awaitable<std::optional<platform::version>> write_record(
    control_plane& c, leader_record r, platform::write_condition condition)
{
    const std::string text = to_text(r);
    const auto outcome = co_await c.store_.put(record_key, text, condition);
    if (const auto* done = std::get_if<platform::written>(&outcome)) {
        record_store_result(c, true);
        co_return done->version_;
    }
    if (std::holds_alternative<platform::condition_failed>(outcome) ||
        std::holds_alternative<platform::not_reached>(outcome))
        co_return std::nullopt;
    const auto stored_object = co_await c.store_.get(record_key);
    if (!base::ok(stored_object) || !base::value(stored_object))
        co_return std::nullopt;
    const auto stored_record = parse_record(base::value(stored_object)->value_);
    if (!stored_record || stored_record->nonce_ != r.nonce_)
        co_return std::nullopt;
    co_return base::value(stored_object)->version_;
}


// Joins the other daemons through the daemon that led last.
void join_through(control_plane& c, const leader_record& r)
{
    const auto peer = membership::parse_endpoint(r.peer_address_);
    if (!peer || *peer == c.node_.self().peer_)
        return;
    std::vector<membership::endpoint> seeds = configured_seeds(c.config_);
    seeds.push_back(*peer);
    c.node_.set_seeds(std::move(seeds));
}


bool knows_live_peer(const control_plane& c)
{
    return live_daemons(c) > 1;
}


asio::awaitable<void> try_to_become_leader(control_plane& c)
{
    const auto read_result = co_await c.store_.get(record_key);
    record_store_result(c, base::ok(read_result));
    if (!base::ok(read_result) || c.stopping_ || !election_is_due(c))
        co_return;
    const auto& stored_object = base::value(read_result);
    std::optional<leader_record> previous;
    platform::write_condition condition = platform::if_absent{};
    if (stored_object) {
        previous = parse_record(stored_object->value_);
        if (previous) {
            join_through(c, *previous);
            apply_recorded_parts(c, *previous);
        }
        if (previous && is_initial_election(c)) {
            c.leader_.term_ = previous->term_;
            c.leader_.last_heartbeat_at_ = base::boot_clock::now();
            c.leader_.leader_store_contact_at_ = c.leader_.last_heartbeat_at_;
            co_return;
        }
        if (!previous) {
            base::event_line("leader_record_unreadable", base::severity::error)
                .field("daemon", c.config_.daemon_);
            co_return;
        }
        condition = platform::if_version{stored_object->version_};
    }
    const bool is_first_leader =
        !stored_object.has_value() && c.leader_.term_ == 0;
    const leader_record next = make_next_record(c, previous);
    const auto written = co_await write_record(c, next, condition);
    if (written)
        assume_leadership(c, next, *written, is_first_leader);
}


// Returns true when the store has been restored since this leader wrote its
// record.
bool record_may_be_lost(const control_plane& c)
{
    return c.leader_.record_version_.era_ < c.store_.era();
}


// Writes the leader record again after the store lost the latest ones. A new
// term keeps orders of a daemon that took over meanwhile apart.
asio::awaitable<void> renew_lost_record(
    control_plane& c,
    const std::optional<platform::object>& stored_object,
    const std::optional<leader_record>& stored)
{
    const std::uint64_t term = c.leader_.term_;
    base::event_line("leader_record_lost", base::severity::warning)
        .field("term", term)
        .field("stored_term", stored ? stored->term_ : 0)
        .field("era", c.store_.era());
    platform::write_condition condition = platform::if_absent{};
    if (stored_object)
        condition = platform::if_version{stored_object->version_};
    const leader_record next = make_next_record(c, stored);
    const auto written = co_await write_record(c, next, condition);
    if (written && c.leader_.leading_ && c.leader_.term_ == term)
        assume_leadership(c, next, *written, false);
}


void send_heartbeat(control_plane& c, base::time_point& last_heartbeat)
{
    const base::time_point now = base::boot_clock::now();
    if (now - last_heartbeat < heartbeat_period || c.stopping_)
        return;
    if (now - c.store_answered_at_ > max_store_outage && c.store_failed_)
        return;
    last_heartbeat = now;
    broadcast_heartbeat(c, make_heartbeat(c));
}

} // namespace

void resign_leadership(control_plane& c)
{
    leader_state& l = c.leader_;
    base::event_line("leadership_resigned", base::severity::warning)
        .field("daemon", c.config_.daemon_)
        .field("term", l.term_);
    broadcast_heartbeat(c, {{}, l.term_, {}, {}});
    l.leading_ = false;
    l.resigned_ = true;
    l.leader_ = {};
    l.last_heartbeat_at_ = base::boot_clock::now();
    l.leader_store_contact_at_ = l.last_heartbeat_at_;
    c.planners_.clear();
}


asio::awaitable<bool> confirm_leadership(control_plane& c)
{
    leader_state& l = c.leader_;
    if (!l.leading_)
        co_return false;
    const base::time_point start_time = base::boot_clock::now();
    if (!record_may_be_lost(c) &&
        start_time - l.confirmed_at_ < confirmation_validity &&
        l.next_epoch_ + epoch_block_size / 2 < l.epoch_limit_)
        co_return true;
    leader_record r = make_record(c);
    if (l.next_epoch_ + epoch_block_size / 2 >= l.epoch_limit_)
        r.epoch_limit_ += epoch_block_size;
    const std::uint64_t term = l.term_;
    const auto written =
        co_await write_record(c, r, platform::if_version{l.record_version_});
    if (!l.leading_ || l.term_ != term)
        co_return false;
    if (!written) {
        const auto stored_object = co_await c.store_.get(record_key);
        record_store_result(c, base::ok(stored_object));
        if (!base::ok(stored_object) || !l.leading_ || l.term_ != term)
            co_return false;
        std::optional<leader_record> stored_record;
        if (base::value(stored_object))
            stored_record = parse_record(base::value(stored_object)->value_);
        if (!base::value(stored_object) ||
            (stored_record && stored_record->term_ < term)) {
            co_await renew_lost_record(
                c, base::value(stored_object), stored_record);
            co_return false;
        }
        // A delayed earlier write of this leader may have reached the store.
        if (stored_record &&
            stored_record->daemon_ == c.config_.daemon_.value_ &&
            stored_record->term_ == term) {
            l.record_version_ = base::value(stored_object)->version_;
            co_return false;
        }
        l.leading_ = false;
        // The new leader has just written its record.
        l.leader_store_contact_at_ = base::boot_clock::now();
        c.planners_.clear();
        base::event_line("leadership_lost", base::severity::warning)
            .field(
                "new_leader",
                stored_record ? stored_record->daemon_ : "unknown")
            .field("term", term);
        co_return false;
    }
    l.record_version_ = *written;
    l.epoch_limit_ = r.epoch_limit_;
    l.confirmed_at_ = start_time;
    c.parts_.recorded_ = parts_of(r.quarantined_);
    co_return base::boot_clock::now() - start_time < confirmation_validity;
}


std::uint64_t allocate_epoch(control_plane& c)
{
    return c.leader_.next_epoch_++;
}


asio::awaitable<void> run_discovery(control_plane& c)
{
    for (;;) {
        if (!knows_live_peer(c) && !c.leader_.leading_) {
            const auto read_result = co_await c.store_.get(record_key);
            record_store_result(c, base::ok(read_result));
            if (base::ok(read_result) && base::value(read_result)) {
                const auto record =
                    parse_record(base::value(read_result)->value_);
                if (record) {
                    join_through(c, *record);
                    apply_recorded_parts(c, *record);
                }
            }
        }
        co_await sleep_for(c, discovery_period);
    }
}


asio::awaitable<void> run_leadership(control_plane& c)
{
    base::time_point last_heartbeat;
    if (c.config_.first_start_)
        co_await sleep_for(
            c,
            std::chrono::milliseconds(c.random_() % max_first_delay.count()));
    for (;;) {
        if (c.leader_.leading_ &&
            (record_may_be_lost(c) || parts_are_to_be_recorded(c)))
            co_await confirm_leadership(c);
        if (c.leader_.leading_)
            send_heartbeat(c, last_heartbeat);
        else if (!c.stopping_ && election_is_due(c))
            co_await try_to_become_leader(c);
        co_await sleep_for(c, leadership_poll_period);
    }
}

} // namespace monsoondock::entry::pvt
