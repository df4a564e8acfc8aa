#include <monsoondock/base/stream_join.hpp>

#include <algorithm>
#include <utility>

namespace monsoondock::base {

namespace {

using phase = run_join::phase;

enum class verdict
{
    pass,
    repeated,
    held,
    failed
};


verdict fail(stream_join& j, join_failure failure)
{
    j.run_.failure_ = failure;
    j.run_.held_.clear();
    return verdict::failed;
}


bool has_number(const stream_event& e)
{
    return e.id_form_ == event_id_form::number;
}


bool has_same_id(const sent_event& sent, const stream_event& e)
{
    return sent.id_form_ == e.id_form_ && (!has_number(e) || sent.id_ == e.id_);
}


bool is_same(const sent_event& sent, const stream_event& e)
{
    return has_same_id(sent, e) && sent.content_ == e.content_ &&
           e.id_form_ != event_id_form::invalid;
}


// Returns true when the caller has an event with the same content.
bool has_content(const stream_join& j, const stream_event& e)
{
    return std::any_of(
        j.sent_.begin(), j.sent_.end(), [&e](const sent_event& sent) {
            return sent.content_ == e.content_;
        });
}


// A run that was asked for an event may put it in other words; its id shows
// that it is in its place, unless its content is that of another event.
bool repeats(const stream_join& j, std::size_t index, const stream_event& e)
{
    const sent_event& sent = j.sent_[index];
    if (is_same(sent, e))
        return true;
    // The id of the event may have got lost in the earlier run.
    if (sent.id_form_ == event_id_form::missing)
        return sent.content_ == e.content_;
    if (j.run_.same_content_ || !has_number(e) || !has_same_id(sent, e))
        return false;
    return !has_content(j, e);
}


// Returns the index of the event that the run repeats with its first one: the
// first of all, or one that its id tells.
std::optional<std::size_t>
find_repeated(const stream_join& j, const stream_event& e)
{
    if (j.sent_.size() < j.sent_count_)
        return std::nullopt;
    if (is_same(j.sent_.front(), e))
        return 0;
    if (!has_number(e))
        return std::nullopt;
    const auto found = std::find_if(
        j.sent_.rbegin(), j.sent_.rend(), [&e](const sent_event& sent) {
            return is_same(sent, e);
        });
    if (found == j.sent_.rend())
        return std::nullopt;
    return static_cast<std::size_t>(found.base() - j.sent_.begin()) - 1;
}


std::uint64_t largest_step(const id_steps& s)
{
    return std::max({s.largest_, s.last_, std::uint64_t{1}});
}


void add_step(id_steps& s, std::uint64_t step)
{
    s.uniform_ = s.uniform_ && (s.count_ == 0 || step == s.last_);
    s.largest_ = std::max(s.largest_, s.last_);
    s.last_ = step;
    ++s.count_;
}


// Returns true when the ids are those of a numbering that has skipped nothing.
bool is_regular(const stream_join& j)
{
    const id_steps& s = j.steps_;
    return s.count_ == 0 ? s.first_ == 1 : s.uniform_ && s.first_ == s.last_;
}


// Returns true when the last id may be a wrong one. Ids may skip any number;
// but one that skips more than any before it, or an even numbering that does
// not begin where it should, may as well be wrong.
bool is_last_in_doubt(const stream_join& j)
{
    const id_steps& s = j.steps_;
    if (j.last_in_doubt_)
        return true;
    return s.uniform_ ? !is_regular(j) : s.last_ > s.largest_;
}


void record_id(stream_join& j, const stream_event& e)
{
    const std::uint64_t before = j.last_ ? j.last_->id_ : 0;
    if (j.last_ && e.id_ <= before) {
        j.ordered_ = false;
        return;
    }
    if (std::exchange(j.numbered_, true))
        add_step(j.steps_, e.id_ - before);
    else
        j.steps_.first_ = e.id_ - before;
    j.last_in_doubt_ = false;
    j.previous_ = std::move(j.last_);
    j.last_ = {e.id_, e.id_text_, j.sent_count_};
}


void record(stream_join& j, const stream_event& e)
{
    ++j.sent_count_;
    if (j.sent_.size() < max_sent_events)
        j.sent_.push_back({e.id_form_, e.id_, e.content_});
    j.varied_ = j.varied_ || e.content_ != j.sent_.front().content_;
    if (has_number(e))
        record_id(j, e);
    else if (e.id_form_ == event_id_form::invalid)
        j.ordered_ = false;
}


// Takes an event of a run that has been joined.
verdict follow(stream_join& j, const stream_event& e)
{
    if (e.id_form_ == event_id_form::invalid)
        return fail(j, join_failure::invalid_event_id);
    if (has_number(e) && j.last_ && e.id_ <= j.last_->id_) {
        // Either id may be the wrong one.
        j.ordered_ = false;
        return fail(j, join_failure::event_out_of_order);
    }
    record(j, e);
    return verdict::pass;
}


verdict repeat(stream_join& j, std::size_t index, const stream_event& e)
{
    run_join& run = j.run_;
    run.phase_ = phase::repeating;
    run.next_ = index + 1;
    run.repeated_id_ = run.repeated_id_ || has_number(e);
    ++run.repeated_;
    if (run.next_ == j.sent_count_)
        run.phase_ = phase::joined;
    return verdict::repeated;
}


verdict compare(stream_join& j, const stream_event& e)
{
    run_join& run = j.run_;
    if (e.content_ != j.sent_[run.next_].content_) {
        run.phase_ = phase::joined;
        return verdict::pass;
    }
    ++run.next_;
    if (run.next_ == run.begin_)
        return fail(j, join_failure::renumbered);
    return verdict::held;
}


// Returns true when a run that goes on by its ids may repeat the events that
// the caller has under other ids. Events that are all alike don't tell.
bool may_repeat_first(const stream_join& j, const stream_event& e)
{
    if (!e.has_data_ || j.sent_.size() < j.sent_count_ ||
        e.content_ != j.sent_.front().content_)
        return false;
    const bool skips = e.id_ - j.last_->id_ > largest_step(j.steps_);
    return j.varied_ || (j.sent_count_ == 1 && skips);
}


// Takes an event by which a run goes on behind what the caller has.
verdict go_on(stream_join& j, const stream_event& e)
{
    run_join& run = j.run_;
    if (e.id_form_ == event_id_form::invalid)
        return fail(j, join_failure::invalid_event_id);
    if (has_number(e) && j.last_ && e.id_ <= j.last_->id_)
        return fail(j, join_failure::overlapping_event);
    if (!has_number(e) && has_content(j, e))
        return fail(j, join_failure::renumbered);
    if (may_repeat_first(j, e)) {
        run.phase_ = phase::comparing;
        run.next_ = 0;
        return compare(j, e);
    }
    run.phase_ = phase::joined;
    return follow(j, e);
}


// Takes the first event of a run.
verdict join_run(stream_join& j, const stream_event& e)
{
    run_join& run = j.run_;
    const bool asked_to_repeat = run.asked_after_ < run.begin_;
    if (asked_to_repeat && repeats(j, run.asked_after_, e))
        return repeat(j, run.asked_after_, e);
    run.same_content_ = true;
    if (const auto index = find_repeated(j, e))
        return repeat(j, *index, e);
    if (asked_to_repeat)
        return fail(j, join_failure::not_repeated);
    return go_on(j, e);
}


verdict judge(stream_join& j, const stream_event& e)
{
    run_join& run = j.run_;
    switch (run.phase_) {
    case phase::first:
        record(j, e);
        return verdict::pass;
    case phase::joined:
        return follow(j, e);
    case phase::joining:
        return join_run(j, e);
    case phase::comparing:
        return compare(j, e);
    case phase::repeating:
        break;
    }
    if (repeats(j, run.next_, e))
        return repeat(j, run.next_, e);
    // A run may begin with the events without an id that all runs begin with.
    if (run.asked_after_ == run.begin_ && !run.repeated_id_)
        return go_on(j, e);
    return fail(j, join_failure::overlapping_event);
}


// Passes the events on that were held back. Returns false when they don't
// follow what the caller has.
bool release_held(stream_join& j, std::string& passed)
{
    const auto held = std::exchange(j.run_.held_, {});
    for (const held_event& h : held) {
        if (follow(j, h.event_) != verdict::pass)
            return false;
        passed.append(h.text_);
    }
    return true;
}

} // namespace

void begin_after(stream_join& join, std::uint64_t id)
{
    join.last_ = stream_position{id, {}, 0};
}


std::optional<resume_point> resume_at(const stream_join& join)
{
    if (join.sent_count_ == 0)
        return resume_point{};
    if (!join.resumable_ || !join.ordered_ || !join.last_)
        return std::nullopt;
    const auto& after = is_last_in_doubt(join) ? join.previous_ : join.last_;
    const resume_point point =
        after ? resume_point{after->id_text_, after->events_} : resume_point{};
    const bool recorded = join.sent_.size() == join.sent_count_;
    if (!recorded && point.events_ < join.sent_count_)
        return std::nullopt;
    return point;
}


void begin_run(stream_join& join)
{
    join.run_ = {};
    join.run_.begin_ = join.sent_count_;
    if (join.sent_count_ == 0 || !join.resumable_)
        return;
    join.run_.phase_ = phase::joining;
    const auto point = resume_at(join);
    if (point)
        join.run_.asked_after_ = point->events_;
    else
        fail(join, join_failure::not_resumable);
}


void accept_event(
    stream_join& join,
    const stream_event& event,
    std::string_view text,
    std::string& passed)
{
    run_join& run = join.run_;
    if (run.failure_ != join_failure::none)
        return;
    if (!join.resumable_ || !has_place(event)) {
        passed.append(text);
        return;
    }
    const bool comparing = run.phase_ == phase::comparing;
    switch (judge(join, event)) {
    case verdict::pass:
        if (comparing && (!release_held(join, passed) ||
                          follow(join, event) != verdict::pass))
            return;
        passed.append(text);
        break;
    case verdict::held:
        run.held_.push_back({event, std::string(text)});
        break;
    case verdict::repeated:
    case verdict::failed:
        break;
    }
}


bool finish_run(stream_join& join, std::string& passed)
{
    run_join& run = join.run_;
    if (run.failure_ != join_failure::none)
        return false;
    switch (run.phase_) {
    case phase::first:
    case phase::joined:
        return true;
    case phase::comparing:
        return release_held(join, passed);
    case phase::joining:
        if (run.asked_after_ == run.begin_ && is_regular(join))
            return true;
        join.last_in_doubt_ = true;
        fail(join, join_failure::not_repeated);
        return false;
    case phase::repeating:
        break;
    }
    fail(join, join_failure::overlapping_event);
    return false;
}


std::string_view to_string(join_failure failure) noexcept
{
    switch (failure) {
    case join_failure::none:
        return "none";
    case join_failure::not_resumable:
        return "not_resumable";
    case join_failure::overlapping_event:
        return "overlapping_event";
    case join_failure::not_repeated:
        return "not_repeated";
    case join_failure::renumbered:
        return "renumbered";
    case join_failure::event_out_of_order:
        return "event_out_of_order";
    case join_failure::invalid_event_id:
        return "invalid_event_id";
    }
    return "unknown";
}

} // namespace monsoondock::base
