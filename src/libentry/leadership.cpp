#include "control.hpp"

#include <monsoondock/base/event_line.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using namespace std::chrono_literals;

// Kind and name of the record in the store; the kind is the project's own.
constexpr const char* record_key = "leaders/placement";
constexpr std::chrono::milliseconds round_period{100};
constexpr std::chrono::milliseconds beat_period{250};
// Without a beat for so long the leader counts as lost; each daemon waits a
// little longer than the one before it in the order of names.
constexpr std::chrono::milliseconds silence_limit{1000};
constexpr std::chrono::milliseconds rank_delay{250};
// At the very first start nobody can lead yet, so all try at once.
constexpr std::chrono::milliseconds first_spread{80};
// An order is sent within this time of the write of the record, and a new
// leader waits a little longer before it sends its first one.
constexpr std::chrono::milliseconds fence_time{500};
constexpr std::chrono::milliseconds takeover_wait{700};
// A leader that has not reached the store for so long stops its beats.
constexpr std::chrono::milliseconds store_silence{2500};
constexpr std::uint64_t epoch_block = 10000;


/// The record in the store.
struct leader_record
{
    std::string daemon_;
    std::uint64_t term_ = 0;
    std::uint64_t epochs_below_ = 1;
    /// Differs between two writes, so that each one is a change.
    std::uint64_t stamp_ = 0;
};


std::string to_text(const leader_record& r)
{
    return json::serialize(json::object{
        {"daemon", r.daemon_},
        {"term", r.term_},
        {"epochs_below", r.epochs_below_},
        {"stamp", r.stamp_}});
}


std::optional<leader_record> parse_record(const std::string& text)
{
    try {
        const json::value v = json::parse(text);
        const json::object& o = v.as_object();
        return leader_record{
            std::string(o.at("daemon").as_string()),
            o.at("term").to_number<std::uint64_t>(),
            o.at("epochs_below").to_number<std::uint64_t>(),
            o.at("stamp").to_number<std::uint64_t>()};
    } catch (const std::exception&) {
        return std::nullopt;
    }
}


std::size_t rank(const control& c)
{
    std::size_t before = 0;
    for (const auto& [id, member] : c.node_.members()) {
        if (member.record_.state_ == membership::member_state::alive &&
            id < c.config_.daemon_)
            ++before;
    }
    return before;
}


// At the very first start nobody leads until somebody has made the record.
bool may_be_first(const control& c)
{
    return c.config_.first_start_ && c.leader_.term_ == 0 &&
           base::boot_clock::now() - c.started_at_ < silence_limit;
}


bool leader_is_lost(const control& c)
{
    const base::time_point now = base::boot_clock::now();
    if (may_be_first(c))
        return true;
    if (c.leader_.resigned_)
        return now - c.leader_.heard_at_ >= rank(c) * rank_delay;
    const base::time_point since = std::max(c.leader_.heard_at_, c.started_at_);
    return now - since > silence_limit + rank(c) * rank_delay;
}


leader_record make_record(control& c)
{
    return {
        c.config_.daemon_.value_,
        c.leader_.term_,
        c.leader_.epochs_below_,
        c.random_() >> 1U};
}


leader_beat make_beat(const control& c)
{
    return {
        c.config_.daemon_,
        c.leader_.term_,
        std::chrono::duration_cast<std::chrono::milliseconds>(
            base::boot_clock::now() - c.store_answered_at_),
        own_position(c)};
}


void begin_to_lead(
    control& c, const leader_record& r, platform::version v, bool first)
{
    const base::time_point now = base::boot_clock::now();
    leader_state& l = c.leader_;
    l.leading_ = true;
    l.term_ = r.term_;
    l.leader_ = c.config_.daemon_;
    l.resigned_ = false;
    l.record_version_ = v;
    l.epochs_below_ = r.epochs_below_;
    l.next_epoch_ = r.epochs_below_ - epoch_block;
    l.fenced_at_ = now;
    l.orders_from_ = first ? now : now + takeover_wait;
    c.planners_.clear();
    base::event_line("leading")
        .field("daemon", c.config_.daemon_)
        .field("term", r.term_)
        .field("epochs_from", l.next_epoch_);
    broadcast(c, make_beat(c));
}


// Writes a record; an answer that was lost is looked up in the store.
asio::awaitable<std::optional<platform::version>>
write_record(control& c, leader_record r, platform::write_condition condition)
{
    const std::string text = to_text(r);
    const auto outcome = co_await c.store_.put(record_key, text, condition);
    if (const auto* done = std::get_if<platform::written>(&outcome)) {
        note_store(c, true);
        co_return done->version_;
    }
    if (std::holds_alternative<platform::condition_failed>(outcome) ||
        std::holds_alternative<platform::not_reached>(outcome))
        co_return std::nullopt;
    const auto now_there = co_await c.store_.get(record_key);
    if (!base::ok(now_there) || !base::value(now_there))
        co_return std::nullopt;
    const auto there = parse_record(base::value(now_there)->value_);
    if (!there || there->stamp_ != r.stamp_)
        co_return std::nullopt;
    co_return base::value(now_there)->version_;
}


asio::awaitable<void> try_to_lead(control& c)
{
    const auto present = co_await c.store_.get(record_key);
    note_store(c, base::ok(present));
    if (!base::ok(present) || c.stopping_ || !leader_is_lost(c))
        co_return;
    const auto& there = base::value(present);
    leader_record next;
    platform::write_condition condition = platform::if_absent{};
    if (there) {
        const auto old = parse_record(there->value_);
        if (old && may_be_first(c)) {
            c.leader_.term_ = old->term_;
            c.leader_.heard_at_ = base::boot_clock::now();
            co_return;
        }
        if (!old) {
            base::event_line("leader_record_unreadable", base::severity::error)
                .field("daemon", c.config_.daemon_);
            co_return;
        }
        next = *old;
        condition = platform::if_version{there->version_};
    }
    next.daemon_ = c.config_.daemon_.value_;
    ++next.term_;
    next.epochs_below_ += epoch_block;
    next.stamp_ = c.random_() >> 1U;
    const auto written = co_await write_record(c, next, condition);
    if (written)
        begin_to_lead(c, next, *written, !there.has_value());
}


void beat(control& c, base::time_point& last)
{
    const base::time_point now = base::boot_clock::now();
    if (now - last < beat_period || c.stopping_)
        return;
    if (now - c.store_answered_at_ > store_silence && c.store_failed_)
        return;
    last = now;
    broadcast(c, make_beat(c));
}

} // namespace

asio::awaitable<bool> fence(control& c)
{
    leader_state& l = c.leader_;
    if (!l.leading_)
        co_return false;
    const base::time_point begun = base::boot_clock::now();
    if (begun - l.fenced_at_ < fence_time &&
        l.next_epoch_ + epoch_block / 2 < l.epochs_below_)
        co_return true;
    leader_record r = make_record(c);
    if (l.next_epoch_ + epoch_block / 2 >= l.epochs_below_)
        r.epochs_below_ += epoch_block;
    const std::uint64_t term = l.term_;
    const auto written =
        co_await write_record(c, r, platform::if_version{l.record_version_});
    if (!l.leading_ || l.term_ != term)
        co_return false;
    if (!written) {
        const auto there = co_await c.store_.get(record_key);
        note_store(c, base::ok(there));
        if (!base::ok(there) || !base::value(there))
            co_return false;
        const auto now_there = parse_record(base::value(there)->value_);
        // An earlier write of this leader may have come through late.
        if (now_there && now_there->daemon_ == c.config_.daemon_.value_ &&
            now_there->term_ == term) {
            l.record_version_ = base::value(there)->version_;
            co_return false;
        }
        l.leading_ = false;
        c.planners_.clear();
        base::event_line("leadership_lost", base::severity::warning)
            .field("to", now_there ? now_there->daemon_ : "unknown")
            .field("term", term);
        co_return false;
    }
    l.record_version_ = *written;
    l.epochs_below_ = r.epochs_below_;
    l.fenced_at_ = begun;
    co_return base::boot_clock::now() - begun < fence_time;
}


std::uint64_t take_epoch(control& c)
{
    return c.leader_.next_epoch_++;
}


asio::awaitable<void> run_leadership(control& c)
{
    base::time_point last_beat;
    if (c.config_.first_start_)
        co_await sleep_for(
            c, std::chrono::milliseconds(c.random_() % first_spread.count()));
    for (;;) {
        if (c.leader_.leading_)
            beat(c, last_beat);
        else if (!c.stopping_ && leader_is_lost(c))
            co_await try_to_lead(c);
        co_await sleep_for(c, round_period);
    }
}

} // namespace monsoondock::entry::pvt
