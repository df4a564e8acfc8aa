#pragma once

#include <monsoondock/base/stream_event.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::base {

/// Why a run of a stream can't be joined to the events that its caller has.
enum class join_failure
{
    none,
    /// The ids do not tell after which event a run would go on.
    not_resumable,
    /// An event neither repeats what the caller has nor follows it.
    overlapping_event,
    /// The run went on without repeating the events that it was asked for.
    not_repeated,
    /// The run has events that the caller has under other ids.
    renumbered,
    /// An id is not above the one before it.
    event_out_of_order,
    /// An id is no number, or an event has several.
    invalid_event_id
};


/// Event that a caller has.
struct sent_event
{
    event_id_form id_form_ = event_id_form::missing;
    std::uint64_t id_ = 0;
    std::uint64_t content_ = 0;
};


/// Position in a stream, behind an event with an id.
struct stream_position
{
    std::uint64_t id_ = 0;
    /// The id as it was sent; empty where the caller's own request begins.
    std::string id_text_;
    /// Number of events that the caller has up to here.
    std::size_t events_ = 0;
};


/// Event of the present run that the caller does not have yet.
struct held_event
{
    stream_event event_;
    std::string text_;
};


/// How the present run relates to the events that the caller has.
struct run_join
{
    enum class phase
    {
        /// The caller has no event of an earlier run.
        first,
        /// No event has come yet.
        joining,
        /// The run repeats events that the caller has.
        repeating,
        /// The run goes on by its ids, but its contents are those of the first
        /// events so far.
        comparing,
        /// The run goes on behind the events that the caller has.
        joined
    };

    phase phase_ = phase::first;
    /// Number of events that the caller had as the run began, and how many of
    /// them the run was asked to go on after.
    std::size_t begin_ = 0;
    std::size_t asked_after_ = 0;
    /// Index of the next event to be repeated, or compared.
    std::size_t next_ = 0;
    /// True when repeated events have to have the same content, because the
    /// run was not asked for them.
    bool same_content_ = false;
    /// True when the run has repeated an event with an id.
    bool repeated_id_ = false;
    /// Number of events left out, as the caller has them.
    std::size_t repeated_ = 0;
    /// Events held back while their contents are compared.
    std::vector<held_event> held_;
    join_failure failure_ = join_failure::none;
};


/// Differences between consecutive ids.
struct id_steps
{
    /// From the beginning that the caller's request asks for, or from 0.
    std::uint64_t first_ = 0;
    /// Number of those after it, the last one, and the largest one before that.
    std::size_t count_ = 0;
    std::uint64_t last_ = 0;
    std::uint64_t largest_ = 0;
    /// True while all after the first one are the same.
    bool uniform_ = true;
};


/// Decides which events of the runs of a stream reach its caller. An event is
/// left out only if the caller has it, and a run is joined to an earlier one
/// only where its ids or its contents show how it goes on. The events of a
/// first run are passed on as they are, whatever their ids.
struct stream_join
{
    /// False when no other run may follow; all events are passed on then, and
    /// nothing is recorded.
    bool resumable_ = true;
    /// The first events that the caller has, at most max_sent_events, and the
    /// number of all of them.
    std::vector<sent_event> sent_;
    std::size_t sent_count_ = 0;
    /// True when those events have different contents.
    bool varied_ = false;
    /// Behind the last event with an id, and behind the one before it. Before
    /// the first one, where the caller's request says that the stream begins.
    std::optional<stream_position> last_;
    std::optional<stream_position> previous_;
    /// True once the caller has an event with an id.
    bool numbered_ = false;
    id_steps steps_;
    /// True when a run that was asked to go on behind the last event had none,
    /// though the ids do not show that there are no others.
    bool last_in_doubt_ = false;
    /// False once the ids that the caller has are no order.
    bool ordered_ = true;
    run_join run_;
};

/// Number of events that are recorded, 24 bytes each. A run that begins anew
/// can't be joined to more.
inline constexpr std::size_t max_sent_events = 4096;


/// Where another run of a stream is to go on.
struct resume_point
{
    /// Id of the event after which it begins; empty for the beginning that the
    /// caller's request asks for.
    std::string after_id_;
    /// Number of events that the caller has up to there. The run repeats the
    /// others.
    std::size_t events_ = 0;
};


/// Records where the caller's request says that the stream begins: behind the
/// event with this id.
void begin_after(stream_join& join, std::uint64_t id);


/// Returns where another run may go on, or nullopt when it would lose or repeat
/// events.
std::optional<resume_point> resume_at(const stream_join& join);


/// Begins another run, which was asked to go on at resume_at.
void begin_run(stream_join& join);


/// Takes the next event of the present run and appends what the caller gets to
/// passed: nothing, the event, or events held back and the event. Nothing is
/// appended once the run has failed to join.
void accept_event(
    stream_join& join,
    const stream_event& event,
    std::string_view text,
    std::string& passed);


/// Ends the present run, with its events that were held back. Returns false
/// when the run has not reached the end of what the caller has, so that the
/// stream is not complete.
bool finish_run(stream_join& join, std::string& passed);


/// Returns the name of a failure as it appears in logs.
std::string_view to_string(join_failure failure) noexcept;

} // namespace monsoondock::base
