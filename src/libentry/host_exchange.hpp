#pragma once

#include "host_digest.hpp"
#include "host_log.hpp"

#include <monsoondock/platform/change.hpp>

#include <optional>
#include <string>
#include <vector>

namespace monsoondock::entry::pvt {

/// What a daemon asks the peer that it follows for.
struct feed_question
{
    /// How far the asker has taken the peer's changes.
    feed_position from_;
    /// What the asker has; compared when the peer's log does not go back to
    /// that position, as after a change of leader.
    host_digest digest_{};
};


/// What a daemon tells a peer that follows it.
struct feed_answer
{
    feed_position position_;
    /// Parts of which the changes are all entries; of the others they are
    /// what is new.
    std::vector<std::size_t> whole_parts_;
    std::vector<platform::change> changes_;
};


/// Returns what the asker lacks: the changes since its position, or all
/// entries of the parts in which it differs.
feed_answer answer_feed(
    const feed_question& question,
    const feed_position& own,
    const host_log& log,
    const host_entries& entries);


/// Returns what pushed changes, the last ones up to a position, tell a daemon
/// that has taken the peer's changes up to another. Nothing when they belong
/// to another life of a peer, leave a gap, or are known.
std::optional<feed_answer> take_push(
    const feed_position& taken,
    const feed_position& up_to,
    const std::vector<platform::change>& changes);


/// Returns a question as the query of a page's address.
std::string to_query(const feed_question& q);


/// Reads the question from a page's address. Whatever is missing there counts
/// as nothing known.
feed_question parse_feed_question(const std::string& target);


/// Returns an answer as JSON text.
std::string to_text(const feed_answer& a);


/// Reads an answer. Returns nothing when the text has another form.
std::optional<feed_answer> parse_feed_answer(const std::string& text);

} // namespace monsoondock::entry::pvt
