#include "control.hpp"

#include <monsoondock/base/event_line.hpp>
#include <monsoondock/base/retry_delay.hpp>

#include <set>

namespace monsoondock::entry::pvt {

namespace asio = boost::asio;

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds watch_time{20000};
constexpr std::chrono::milliseconds follow_check{150};
constexpr base::retry_bounds store_retry{150ms, 600ms};
// Changes come in bursts; the next watch begins this much later, so that a
// burst costs one call. A daemon that doesn't lead only learns later by this
// which groups opened or went, and traffic tells it of lost ones.
constexpr std::chrono::milliseconds leader_batch_pause{20};
constexpr std::chrono::milliseconds batch_pause{200};
// Hosts write again within about two seconds of the store's return.
constexpr std::chrono::milliseconds lapse_grace{2500};
// An outage shorter than this makes no entry lapse.
constexpr std::chrono::milliseconds shortest_outage{1000};


// Changes up to this size go with the datagram that announces them, which then
// fits an Ethernet frame.
constexpr std::size_t max_pushed_bytes = 1200;


std::size_t value_bytes(const std::vector<platform::change>& changes)
{
    std::size_t sum = 0;
    for (const platform::change& c : changes)
        sum += c.object_.key_.size() + c.object_.value_.size();
    return sum;
}


std::string id_of(const control& c, const std::string& key)
{
    return key.substr(c.adapter_.hosts_prefix_.size());
}


void log_host(const fleet::host_fact& h, const char* event)
{
    base::event_line line(event);
    line.field("host", h.id_)
        .field("deployment", h.deployment_)
        .field("draining", h.draining_ ? "yes" : "no")
        .field("born", h.born_ms_);
    if (h.role_)
        line.field("group", h.role_->key_.name_)
            .field("rank", h.role_->rank_)
            .field("phase", fleet::to_string(h.role_->phase_));
}


// Tells the peers that follow this daemon.
void log_change(control& c, platform::change change)
{
    c.hosts_.log_.add(std::move(change));
}


void take_entry(control& c, const platform::object& o)
{
    const std::string id = id_of(c, o.key_);
    auto& entry = c.hosts_.entries_[{id}];
    if (o.version_ < entry.version_)
        return;
    entry = o;
    auto read = c.adapter_.parse_host_(id, o.value_);
    if (!base::ok(read)) {
        base::event_line("host_entry_unreadable", base::severity::warning)
            .field("host", id)
            .field("reason", base::to_string(base::error(read)));
        c.hosts_.hosts_.erase({id});
        log_change(c, {o, false});
        return;
    }
    fleet::host_fact host = base::value(std::move(read));
    c.hosts_.lapsed_.erase(host.id_);
    auto& known = c.hosts_.hosts_[host.id_];
    if (known == host)
        return;
    log_change(c, {o, false});
    if (known.born_ms_ != host.born_ms_)
        c.verdicts_.erase(host.id_);
    known = std::move(host);
    if (c.leader_.leading_ || known.draining_)
        log_host(known, "host_changed");
}


void drop_host(control& c, const base::host_id& id, const char* reason)
{
    const auto entry = c.hosts_.entries_.find(id);
    if (entry == c.hosts_.entries_.end())
        return;
    log_change(c, {{entry->second.key_, entry->second.version_, {}}, true});
    base::event_line("host_gone").field("host", id).field("reason", reason);
    c.hosts_.hosts_.erase(id);
    c.hosts_.entries_.erase(entry);
    c.hosts_.lapsed_.erase(id);
}


void take_removal(control& c, const base::host_id& id)
{
    const base::time_point now = base::boot_clock::now();
    const auto found = c.hosts_.hosts_.find(id);
    // A host that was leaving does not come back.
    if (now < c.hosts_.lapse_until_ && found != c.hosts_.hosts_.end() &&
        !found->second.draining_) {
        c.hosts_.lapsed_.try_emplace(id, c.hosts_.lapse_until_);
        return;
    }
    drop_host(c, id, "entry_removed");
}


void expire_lapsed(control& c)
{
    const base::time_point now = base::boot_clock::now();
    std::vector<base::host_id> expired;
    for (const auto& [id, until] : c.hosts_.lapsed_) {
        if (now >= until)
            expired.push_back(id);
    }
    for (const base::host_id& id : expired)
        drop_host(c, id, "not_back_after_outage");
    if (!expired.empty())
        publish_view(c);
}


// Hosts of the scope that are not present are gone.
template <class Predicate>
void remove_missing(
    control& c,
    const std::set<base::host_id>& present,
    const Predicate& in_scope)
{
    std::vector<base::host_id> missing;
    for (const auto& [id, entry] : c.hosts_.entries_) {
        if (in_scope(id) && !present.contains(id))
            missing.push_back(id);
    }
    for (const base::host_id& id : missing)
        take_removal(c, id);
    if (!c.hosts_.known_) {
        c.hosts_.known_ = true;
        publish_status(c);
    }
}


// Sends the changes themselves while they fit, so that nobody has to ask.
void announce(control& c)
{
    feed_message m{c.leader_.term_, own_position(c), {}};
    if (auto news = c.hosts_.log_.after(c.hosts_.announced_sequence_))
        m.changes_ = std::move(*news);
    if (value_bytes(m.changes_) > max_pushed_bytes)
        m.changes_.clear();
    c.hosts_.announced_sequence_ = m.position_.sequence_;
    broadcast(c, m);
}


void after_change(control& c)
{
    if (c.leader_.leading_)
        announce(c);
    publish_view(c);
    c.placement_wake_.cancel();
}


void note_return(control& c, base::time_point last_answer)
{
    const base::time_point now = base::boot_clock::now();
    if (c.hosts_.known_ && now - last_answer > shortest_outage)
        c.hosts_.lapse_until_ = now + lapse_grace;
}


// Reads all entries; returns the version to watch from.
asio::awaitable<std::optional<platform::version>> read_hosts(control& c)
{
    const base::time_point last_answer = c.store_answered_at_;
    const bool failed_before = c.store_failed_;
    const auto listed = co_await c.store_.list(c.adapter_.hosts_prefix_);
    note_store(c, base::ok(listed));
    if (!base::ok(listed))
        co_return std::nullopt;
    if (failed_before)
        note_return(c, last_answer);
    take_hosts(c, base::value(listed));
    co_return base::value(listed).version_;
}


asio::awaitable<void> watch_hosts(control& c, platform::version from)
{
    for (;;) {
        const auto batch =
            co_await c.store_.watch(c.adapter_.hosts_prefix_, from, watch_time);
        note_store(c, base::ok(batch));
        if (!base::ok(batch))
            co_return;
        for (const platform::change& change : base::value(batch).changes_) {
            if (change.deleted_)
                take_removal(c, {id_of(c, change.object_.key_)});
            else
                take_entry(c, change.object_);
        }
        from = base::value(batch).next_;
        c.hosts_.seen_ = std::max(c.hosts_.seen_, from);
        if (!base::value(batch).changes_.empty())
            after_change(c);
        expire_lapsed(c);
        if (follows_leader(c))
            co_return;
        co_await sleep_for(
            c, c.leader_.leading_ ? leader_batch_pause : batch_pause);
    }
}

} // namespace

void take_hosts(control& c, const platform::listing& list)
{
    // A watch may have told more by now.
    if (list.version_ < c.hosts_.seen_)
        return;
    c.hosts_.seen_ = list.version_;
    std::set<base::host_id> present;
    for (const platform::object& o : list.objects_) {
        present.insert({id_of(c, o.key_)});
        take_entry(c, o);
    }
    remove_missing(c, present, [](const base::host_id&) { return true; });
    after_change(c);
}


void take_answer(control& c, const feed_answer& a)
{
    std::set<base::host_id> present;
    for (const platform::change& change : a.changes_) {
        const base::host_id id{id_of(c, change.object_.key_)};
        if (change.deleted_) {
            drop_host(c, id, "peer_told");
        } else {
            present.insert(id);
            take_entry(c, change.object_);
        }
    }
    const std::set<std::size_t> whole(
        a.whole_parts_.begin(), a.whole_parts_.end());
    remove_missing(c, present, [&whole](const base::host_id& id) {
        return whole.contains(part_of(id));
    });
    if (!a.changes_.empty() || !whole.empty())
        after_change(c);
}


asio::awaitable<void> reread_hosts(control& c)
{
    co_await read_hosts(c);
}


bool misses_changes(const control& c, const platform::listing& list)
{
    if (list.version_ < c.hosts_.seen_)
        return false;
    std::size_t listed = 0;
    for (const platform::object& o : list.objects_) {
        const auto known = c.hosts_.entries_.find({id_of(c, o.key_)});
        if (known == c.hosts_.entries_.end() ||
            known->second.version_ < o.version_)
            return true;
        ++listed;
    }
    return listed < c.hosts_.entries_.size();
}


feed_position own_position(const control& c)
{
    const auto& self = c.node_.self();
    return {
        self.id_.value_ + "." + std::to_string(c.life_),
        c.hosts_.log_.sequence()};
}


asio::awaitable<void> run_host_feed(control& c)
{
    unsigned failures = 0;
    for (;;) {
        if (follows_leader(c)) {
            expire_lapsed(c);
            co_await sleep_for(c, follow_check);
            continue;
        }
        const auto from = co_await read_hosts(c);
        failures = from ? 0 : failures + 1;
        if (from)
            co_await watch_hosts(c, *from);
        expire_lapsed(c);
        co_await sleep_for(
            c, base::retry_delay(failures, store_retry, draw(c)));
    }
}

} // namespace monsoondock::entry::pvt
