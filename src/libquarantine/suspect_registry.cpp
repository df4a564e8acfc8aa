#include <monsoondock/quarantine/confinement.hpp>
#include <monsoondock/quarantine/suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::quarantine {

suspect_registry::suspect_registry(
    base::daemon_id self, std::string token_prefix, quarantine_timing timing)
    : self_(std::move(self)), token_prefix_(std::move(token_prefix)),
      timing_(timing)
{}


suspect_registry::commands
suspect_registry::ask(const dispatch_question& question, moment now)
{
    // A request that asks while it is in flight would be lost sight of.
    if (flights_.contains(question.request_)) {
        refuse(question.request_, quarantine_refusal::on_trial_elsewhere);
        return take_commands();
    }
    entry& e = entry_of(question);
    const suspect_record merged = merged_record(e);
    if (is_quarantined(merged))
        refuse(question.request_, quarantine_refusal::quarantined);
    else if (
        e.phase_ == trial_phase::wanted || e.phase_ == trial_phase::running)
        refuse(question.request_, quarantine_refusal::on_trial_elsewhere);
    else if (merged.lost_.empty())
        ask_free(question, now);
    else
        ask_trial(e, question, now);
    return take_commands();
}


void suspect_registry::dispatched(
    const base::request_id& request, const group_instance& group)
{
    const auto found = flights_.find(request);
    if (found == flights_.end())
        return;
    found->second.group_ = group;
    found->second.dispatched_ = true;
}


suspect_registry::commands
suspect_registry::completed(const base::request_id& request, moment now)
{
    const auto found = flights_.find(request);
    if (found == flights_.end())
        return {};
    const flight f = std::move(found->second);
    flights_.erase(found);
    entry& e = entries_.at(f.fingerprint_);
    if (f.trial_)
        e.phase_ = trial_phase::succeeded;
    if (f.trial_ || merged_record(e).lost_.empty())
        remember_harmless(f.fingerprint_);
    reconcile(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::proved(const base::request_id& request, moment now)
{
    const auto found = flights_.find(request);
    if (found == flights_.end() || !found->second.trial_)
        return {};
    found->second.trial_ = false;
    entry& e = entries_.at(found->second.fingerprint_);
    e.phase_ = trial_phase::succeeded;
    reconcile(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::abandoned(const base::request_id& request, moment now)
{
    const auto found = flights_.find(request);
    if (found != flights_.end()) {
        entry& e = entries_.at(found->second.fingerprint_);
        if (found->second.trial_)
            e.phase_ = trial_phase::ended;
        flights_.erase(found);
        reconcile(e, now);
        return take_commands();
    }
    for (auto& [fingerprint, e] : entries_) {
        const bool waits =
            e.phase_ == trial_phase::wanted && e.question_.request_ == request;
        if (!waits)
            continue;
        e.phase_ = trial_phase::ended;
        reconcile(e, now);
    }
    return take_commands();
}


void suspect_registry::group_left(
    const base::deployment_id& deployment,
    const group_instance& group,
    moment now)
{
    if (!is_lost(group))
        lost_.push_back({deployment, group, now.boot_});
}


void suspect_registry::group_entered(const group_instance& group, moment now)
{
    entered_.push_back({group, now.boot_});
}


void suspect_registry::group_lost(
    const base::deployment_id& deployment,
    const group_instance& group,
    moment now)
{
    group_left(deployment, group, now);
    for (auto f = flights_.begin(); f != flights_.end();) {
        if (!f->second.dispatched_ || f->second.group_ != group) {
            ++f;
            continue;
        }
        entry& e = entries_.at(f->second.fingerprint_);
        e.losses_.insert(group);
        if (f->second.trial_)
            e.phase_ = trial_phase::ended;
        harmless_.erase(f->second.fingerprint_);
        f = flights_.erase(f);
    }
}


suspect_registry::commands suspect_registry::write_answered(
    store_call_id id, const platform::write_outcome& outcome, moment now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.outstanding_.reset();
    if (const auto* done = std::get_if<platform::written>(&outcome))
        settle_written(e, done->version_, now);
    else if (std::holds_alternative<platform::not_reached>(outcome))
        retry_later(e, now);
    else
        read(e);
    return take_commands();
}


suspect_registry::commands suspect_registry::read_answered(
    store_call_id id, const std::optional<platform::object>& object, moment now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.outstanding_.reset();
    e.stored_.reset();
    if (object) {
        auto decoded = decode_suspect(object->value_);
        if (base::ok(decoded))
            e.stored_ = {base::value(std::move(decoded)), object->version_};
        e.known_ = std::max(e.known_, object->version_);
    }
    reconcile(e, now);
    check_trial(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::read_failed(store_call_id id, moment now)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return {};
    entry& e = entries_.at(call->second);
    calls_.erase(call);
    e.outstanding_.reset();
    retry_later(e, now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::feed_listed(const platform::listing& listing, moment now)
{
    feed_.apply(listing);
    learn_from_feed(now);
    return take_commands();
}


suspect_registry::commands
suspect_registry::feed_changed(const platform::change_batch& batch, moment now)
{
    feed_.apply(batch);
    learn_from_feed(now);
    return take_commands();
}


suspect_registry::commands suspect_registry::tick(moment now)
{
    reconcile_all(now);
    clean_up(now);
    return take_commands();
}


suspect_registry::entry&
suspect_registry::entry_of(const dispatch_question& question)
{
    const auto [found, fresh] = entries_.try_emplace(question.fingerprint_);
    entry& e = found->second;
    if (fresh) {
        e.question_ = question;
        e.question_.whole_groups_.clear();
        if (const stored_suspect* stored = feed_.find(question.fingerprint_)) {
            e.stored_ = *stored;
            e.known_ = stored->version_;
        }
    }
    return e;
}


suspect_record suspect_registry::merged_record(const entry& e) const
{
    suspect_record merged;
    if (e.stored_) {
        merged = e.stored_->record_;
    } else {
        merged.fingerprint_ = e.question_.fingerprint_;
        merged.workspace_ = e.question_.workspace_;
        merged.deployment_ = e.question_.deployment_;
    }
    merged.lost_.insert(e.losses_.begin(), e.losses_.end());
    return merged;
}


bool suspect_registry::feed_fresh(moment now) const
{
    return feed_started_ && now.boot_ - feed_contact_ <= timing_.feed_bound_;
}


// After a gap of the watch other daemons may still have losses to record.
bool suspect_registry::feed_settled(moment now) const
{
    return feed_fresh(now) && now.boot_ - fresh_since_ >= timing_.hold_;
}


bool suspect_registry::overdue(const trial& t, moment now) const
{
    return now.wall_ - t.started_at_ > timing_.trial_bound_;
}


bool suspect_registry::is_lost(const group_instance& group) const
{
    return std::any_of(
        lost_.begin(), lost_.end(), [&group](const lost_group& lost) {
            return lost.group_ == group;
        });
}


// The record of a loss tells of it earlier than this daemon's view of the
// group may.
bool suspect_registry::is_recorded_lost(const group_instance& group) const
{
    return std::any_of(
        feed_.all().begin(), feed_.all().end(), [&group](const auto& item) {
            return item.second.record_.lost_.contains(group);
        });
}


bool suspect_registry::is_held(const lost_group& lost, moment now) const
{
    return now.boot_ - lost.lost_at_ < timing_.hold_ || !feed_settled(now);
}


std::set<base::group_id> suspect_registry::held_groups(
    const base::deployment_id& deployment, moment now) const
{
    std::set<base::group_id> held;
    for (const lost_group& lost : lost_)
        if (lost.deployment_ == deployment && is_held(lost, now))
            held.insert(lost.group_.group_);
    return held;
}


bool suspect_registry::is_entering(
    const group_instance& group, moment now) const
{
    return std::any_of(
        entered_.begin(), entered_.end(), [&](const entered_group& entered) {
            return entered.group_ == group &&
                   now.boot_ - entered.entered_at_ < timing_.hold_;
        });
}


// Groups that have a place in the ranking and take no request. While all of
// them are new, none has displaced an older one, so none is barred for that.
std::set<base::group_id> suspect_registry::barred_groups(
    const dispatch_question& question, moment now) const
{
    auto barred = held_groups(question.deployment_, now);
    std::set<base::group_id> entering;
    for (const group_instance& whole : question.whole_groups_)
        if (is_entering(whole, now))
            entering.insert(whole.group_);
    const bool old_one_held =
        std::any_of(lost_.begin(), lost_.end(), [&](const lost_group& lost) {
            return lost.deployment_ == question.deployment_ &&
                   is_held(lost, now) && !is_entering(lost.group_, now);
        });
    const bool all_new =
        !old_one_held && entering.size() == question.whole_groups_.size();
    if (!all_new)
        barred.merge(entering);
    return barred;
}


std::vector<base::group_id>
suspect_registry::ranking(const dispatch_question& question, moment now) const
{
    const auto held = held_groups(question.deployment_, now);
    std::vector<base::group_id> groups(held.begin(), held.end());
    for (const group_instance& whole : question.whole_groups_)
        groups.push_back(whole.group_);
    return rank_groups(
        question.fingerprint_, question.prefix_, std::move(groups));
}


std::vector<group_instance>
suspect_registry::confine(const dispatch_question& question, moment now) const
{
    if (harmless_.contains(question.fingerprint_))
        return question.whole_groups_;
    const auto barred = barred_groups(question, now);
    auto ranked = ranking(question, now);
    ranked.resize(std::min(ranked.size(), CONFINED_GROUPS));
    std::vector<group_instance> allowed;
    for (const group_instance& whole : question.whole_groups_) {
        const bool inside =
            std::find(ranked.begin(), ranked.end(), whole.group_) !=
            ranked.end();
        if (inside && !barred.contains(whole.group_) &&
            !is_recorded_lost(whole))
            allowed.push_back(whole);
    }
    return allowed;
}


// True when another suspect holds a trial on the group that was written
// before the given version.
bool suspect_registry::group_on_trial(
    const base::group_id& group,
    const suspect_fingerprint& except,
    platform::version before,
    moment now) const
{
    for (const auto& [fingerprint, stored] : feed_.all()) {
        const auto& t = stored.record_.trial_;
        if (!t || fingerprint == except || t->group_.group_ != group)
            continue;
        if (stored.version_ < before && !overdue(*t, now))
            return true;
    }
    return false;
}


// The other group of the pair to which copies are confined comes first, even
// when it has to be waited for: a copy that runs free can only be there.
std::optional<group_instance>
suspect_registry::choose_trial_group(const entry& e, moment now) const
{
    const dispatch_question& q = e.question_;
    const auto barred = barred_groups(q, now);
    std::set<base::group_id> lost;
    for (const group_instance& group : merged_record(e).lost_)
        lost.insert(group.group_);
    const auto ranked = ranking(q, now);
    std::optional<group_instance> last_choice;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
        const auto whole = std::find_if(
            q.whole_groups_.begin(),
            q.whole_groups_.end(),
            [&](const group_instance& g) { return g.group_ == ranked[rank]; });
        const bool recorded = lost.contains(ranked[rank]);
        // A copy that ran free there may have lost it; wait for its record.
        if (barred.contains(ranked[rank]) && !recorded &&
            rank < CONFINED_GROUPS)
            return std::nullopt;
        if (whole == q.whole_groups_.end() || barred.contains(ranked[rank]))
            continue;
        const bool busy =
            group_on_trial(ranked[rank], q.fingerprint_, {UINT64_MAX}, now);
        if (recorded) {
            if (!busy && !last_choice)
                last_choice = *whole;
            continue;
        }
        if (!busy)
            return *whole;
        if (rank < CONFINED_GROUPS)
            return std::nullopt;
    }
    return last_choice;
}


void suspect_registry::ask_free(const dispatch_question& question, moment now)
{
    auto groups = confine(question, now);
    if (groups.empty()) {
        refuse(question.request_, quarantine_refusal::confined_groups_lost);
        return;
    }
    flights_[question.request_] = {question.fingerprint_, {}, false, false};
    commands_.emplace_back(
        permit_dispatch{question.request_, std::move(groups)});
}


void suspect_registry::ask_trial(
    entry& e, const dispatch_question& question, moment now)
{
    if (!feed_settled(now)) {
        refuse(question.request_, quarantine_refusal::store_unavailable);
        return;
    }
    const auto& held = e.stored_ ? e.stored_->record_.trial_ : std::nullopt;
    if (held && !overdue(*held, now)) {
        refuse(question.request_, quarantine_refusal::on_trial_elsewhere);
        return;
    }
    e.question_ = question;
    const auto group = choose_trial_group(e, now);
    if (!group) {
        refuse(question.request_, quarantine_refusal::no_trial_group);
        return;
    }
    std::string token = token_prefix_;
    token.append(std::to_string(++last_token_));
    e.phase_ = trial_phase::wanted;
    e.trial_ = {*group, self_, std::move(token), now.wall_};
    reconcile(e, now);
}


void suspect_registry::refuse(
    const base::request_id& request, quarantine_refusal reason)
{
    const bool final = reason == quarantine_refusal::quarantined;
    commands_.emplace_back(refuse_dispatch{
        request,
        reason,
        final ? std::chrono::milliseconds(0) : timing_.retry_after_});
}


void suspect_registry::give_up_trial(entry& e, quarantine_refusal reason)
{
    if (e.phase_ != trial_phase::wanted)
        return;
    e.phase_ = trial_phase::ended;
    refuse(e.question_.request_, reason);
}


// Gives leave when the trial is in the store and every earlier trial on its
// group is over. The order of versions decides between trials that were
// written at once, so two of them never both get leave.
void suspect_registry::check_trial(entry& e, moment now)
{
    if (e.phase_ != trial_phase::wanted || e.outstanding_ || !e.stored_)
        return;
    if (e.stored_->record_.trial_ != e.trial_)
        return;
    if (!feed_settled(now) || feed_.version() < e.stored_->version_)
        return;
    const bool taken = group_on_trial(
        e.trial_.group_.group_,
        e.question_.fingerprint_,
        e.stored_->version_,
        now);
    if (taken || is_lost(e.trial_.group_)) {
        give_up_trial(e, quarantine_refusal::no_trial_group);
        reconcile(e, now);
        return;
    }
    e.phase_ = trial_phase::running;
    flights_[e.question_.request_] = {
        e.question_.fingerprint_, {}, false, true};
    commands_.emplace_back(
        permit_dispatch{e.question_.request_, {e.trial_.group_}});
}


// A trial whose daemon fell silent counts as a loss unless its group is still
// whole in the same generation.
void suspect_registry::replace_overdue_trial(
    entry& e, suspect_record& target, moment now)
{
    if (!target.trial_ || target.trial_ == e.trial_)
        return;
    if (!overdue(*target.trial_, now)) {
        give_up_trial(e, quarantine_refusal::on_trial_elsewhere);
        return;
    }
    const auto& whole = e.question_.whole_groups_;
    const bool survived =
        std::find(whole.begin(), whole.end(), target.trial_->group_) !=
        whole.end();
    if (!survived)
        target.lost_.insert(target.trial_->group_);
    target.trial_.reset();
}


suspect_record suspect_registry::wanted_record(entry& e, moment now)
{
    suspect_record target = merged_record(e);
    if (e.phase_ == trial_phase::wanted)
        replace_overdue_trial(e, target, now);
    if (is_quarantined(target)) {
        give_up_trial(e, quarantine_refusal::quarantined);
        target.trial_.reset();
    }
    if (e.phase_ == trial_phase::wanted)
        target.trial_ = e.trial_;
    const bool over =
        e.phase_ == trial_phase::succeeded || e.phase_ == trial_phase::ended;
    if (over && target.trial_ == e.trial_)
        target.trial_.reset();
    const bool grown = !e.stored_ || e.stored_->record_.lost_ != target.lost_;
    if (grown)
        target.lost_at_ = now.wall_;
    return target;
}


void suspect_registry::reconcile(entry& e, moment now)
{
    if (e.outstanding_ || now.boot_ < e.not_before_)
        return;
    if (is_idle(e))
        return;
    suspect_record target = wanted_record(e, now);
    // An operator lifted the suspicion in the meantime.
    if (e.phase_ == trial_phase::wanted && target.lost_.empty()) {
        e.phase_ = trial_phase::none;
        ask_free(e.question_, now);
        return;
    }
    const bool cleared = e.phase_ == trial_phase::succeeded &&
                         e.losses_.empty() && !is_quarantined(target);
    if (cleared && e.stored_) {
        erase(e);
        return;
    }
    const bool same =
        e.stored_ ? e.stored_->record_ == target : target.lost_.empty();
    if (!same) {
        write(e, std::move(target));
        return;
    }
    const bool over =
        e.phase_ == trial_phase::succeeded || e.phase_ == trial_phase::ended;
    if (over)
        e.phase_ = trial_phase::none;
}


bool suspect_registry::is_idle(const entry& e)
{
    return e.phase_ == trial_phase::none && e.losses_.empty();
}


void suspect_registry::write(entry& e, suspect_record target)
{
    const store_call_id id = next_call();
    platform::write_condition condition = platform::if_absent{};
    if (e.stored_)
        condition = platform::if_version{e.stored_->version_};
    commands_.emplace_back(put_suspect{
        id,
        suspect_object_key(target.fingerprint_),
        encode(target),
        condition});
    calls_[id] = target.fingerprint_;
    e.outstanding_ = id;
    e.written_ = std::move(target);
}


void suspect_registry::erase(entry& e)
{
    const store_call_id id = next_call();
    const suspect_fingerprint& fingerprint = e.question_.fingerprint_;
    commands_.emplace_back(erase_suspect{
        id, suspect_object_key(fingerprint), e.stored_->version_});
    calls_[id] = fingerprint;
    e.outstanding_ = id;
    e.written_.reset();
}


void suspect_registry::read(entry& e)
{
    const store_call_id id = next_call();
    const suspect_fingerprint& fingerprint = e.question_.fingerprint_;
    commands_.emplace_back(read_suspect{id, suspect_object_key(fingerprint)});
    calls_[id] = fingerprint;
    e.outstanding_ = id;
}


void suspect_registry::settle_written(
    entry& e, platform::version version, moment now)
{
    e.known_ = std::max(e.known_, version);
    e.pause_ = std::chrono::milliseconds(0);
    if (e.written_) {
        e.stored_ = {std::move(*e.written_), version};
        for (const group_instance& group : e.stored_->record_.lost_)
            e.losses_.erase(group);
        e.written_.reset();
    } else {
        e.stored_.reset();
        if (e.phase_ == trial_phase::succeeded)
            e.phase_ = trial_phase::none;
    }
    reconcile(e, now);
    check_trial(e, now);
}


void suspect_registry::retry_later(entry& e, moment now)
{
    e.pause_ = std::clamp(
        e.pause_ * 2, timing_.first_write_pause_, timing_.last_write_pause_);
    e.not_before_ = now.boot_ + e.pause_;
    give_up_trial(e, quarantine_refusal::store_unavailable);
}


void suspect_registry::learn_from_feed(moment now)
{
    // What was lost before this daemon started is in the first listing, unless
    // the store was down until now.
    if (!feed_started_)
        fresh_since_ = now.boot_ - timing_.hold_;
    else if (!feed_fresh(now))
        fresh_since_ = now.boot_;
    feed_started_ = true;
    feed_contact_ = now.boot_;
    for (auto& [fingerprint, e] : entries_) {
        const stored_suspect* stored = feed_.find(fingerprint);
        if (stored && stored->version_ > e.known_) {
            e.stored_ = *stored;
            e.known_ = stored->version_;
        }
        if (!stored && feed_.version() >= e.known_ && !e.outstanding_)
            e.stored_.reset();
    }
    reconcile_all(now);
}


void suspect_registry::reconcile_all(moment now)
{
    for (auto& [fingerprint, e] : entries_) {
        reconcile(e, now);
        check_trial(e, now);
    }
}


void suspect_registry::clean_up(moment now)
{
    std::set<suspect_fingerprint> in_flight;
    for (const auto& [request, f] : flights_)
        in_flight.insert(f.fingerprint_);
    std::erase_if(entries_, [&in_flight](const auto& item) {
        const entry& e = item.second;
        return is_idle(e) && !e.outstanding_ && !in_flight.contains(item.first);
    });
    std::erase_if(entered_, [&](const entered_group& entered) {
        return now.boot_ - entered.entered_at_ >= timing_.hold_;
    });
    std::erase_if(lost_, [&](const lost_group& lost) {
        return !is_held(lost, now) &&
               now.boot_ - lost.lost_at_ > timing_.trial_bound_;
    });
}


void suspect_registry::remember_harmless(const suspect_fingerprint& fingerprint)
{
    if (harmless_.size() >= timing_.harmless_limit_)
        harmless_.clear();
    harmless_.insert(fingerprint);
}


store_call_id suspect_registry::next_call()
{
    return {++last_call_};
}


suspect_registry::commands suspect_registry::take_commands()
{
    return std::exchange(commands_, {});
}

} // namespace monsoondock::quarantine
