#pragma once

#include <monsoondock/base/boot_clock.hpp>
#include <monsoondock/base/identifier.hpp>
#include <monsoondock/platform/listing.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace monsoondock::entry::pvt {

using data_centre_set = std::set<base::data_centre_id>;


/// Maximum length of a data centre's name and number of them in a message.
/// Entries with longer names are ignored.
inline constexpr std::size_t max_data_centre_name_bytes = 255;
inline constexpr std::size_t max_sent_evacuations = 128;


/// Data centres to whose upstreams nothing is to be sent, as the platform's
/// store listed them.
struct evacuation_set
{
    /// Version of the store at which the entries were listed.
    platform::version version_;
    data_centre_set data_centres_;

    friend bool
    operator==(const evacuation_set&, const evacuation_set&) = default;
};


/// Evacuations that are in force in this daemon.
struct evacuation_state
{
    evacuation_set set_;
    /// True once a list of the store or a peer's message has been applied.
    bool read_ = false;
    /// True when neither the store nor a peer has told of any evacuation for
    /// long enough after the start, so that this daemon serves without.
    bool presumed_none_ = false;
    /// When the data centres last changed; unset before that.
    base::time_point changed_at_;
    /// When the latest evacuation of each data centre ended.
    std::map<base::data_centre_id, base::time_point> ended_at_;
};


/// What applying a set has changed.
struct evacuation_change
{
    std::vector<base::data_centre_id> begun_;
    std::vector<base::data_centre_id> ended_;
};


/// Returns the evacuations that a list of the entries under a prefix requests.
/// The name of an entry is all that counts; its content may be anything.
evacuation_set
read_evacuations(const platform::listing& list, std::string_view prefix);


/// Applies a set unless the one in force is as new. Returns what has changed.
evacuation_change
apply(evacuation_state& s, const evacuation_set& newer, base::time_point now);


/// Returns true when the daemon may send requests: the evacuations are known,
/// or there is none to be presumed.
bool is_known(const evacuation_state& s);


/// Returns true while the set has to be repeated to peers, of which some may
/// have missed it or been started since it changed.
bool is_repeated(const evacuation_state& s, base::time_point now);


/// Returns the set with at most max_sent_evacuations data centres. Those with
/// hosts take precedence: the others have no effect.
evacuation_set
bounded(const evacuation_set& set, const data_centre_set& with_hosts);

} // namespace monsoondock::entry::pvt
