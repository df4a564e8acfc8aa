#include "evacuations.hpp"

#include <algorithm>
#include <iterator>

namespace monsoondock::entry::pvt {

namespace {

// A daemon that was cut off for less than this time hears of the end of an
// evacuation when it is back.
constexpr std::chrono::seconds repetition_time{30};


std::vector<base::data_centre_id>
difference(const data_centre_set& a, const data_centre_set& b)
{
    std::vector<base::data_centre_id> result;
    std::set_difference(
        a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(result));
    return result;
}

} // namespace

evacuation_set
read_evacuations(const platform::listing& list, std::string_view prefix)
{
    evacuation_set set{list.version_, {}};
    for (const platform::object& o : list.objects_) {
        if (!o.key_.starts_with(prefix))
            continue;
        std::string name = o.key_.substr(prefix.size());
        if (!name.empty() && name.size() <= max_data_centre_name_bytes)
            set.data_centres_.insert({std::move(name)});
    }
    return set;
}


evacuation_change
apply(evacuation_state& s, const evacuation_set& newer, base::time_point now)
{
    if (s.read_ && newer.version_ <= s.set_.version_)
        return {};
    evacuation_change change{
        difference(newer.data_centres_, s.set_.data_centres_),
        difference(s.set_.data_centres_, newer.data_centres_)};
    for (const base::data_centre_id& id : change.ended_)
        s.ended_at_[id] = now;
    s.set_ = newer;
    s.read_ = true;
    if (!change.begun_.empty() || !change.ended_.empty())
        s.changed_at_ = now;
    return change;
}


bool is_known(const evacuation_state& s)
{
    return s.read_ || s.presumed_none_;
}


bool is_repeated(const evacuation_state& s, base::time_point now)
{
    return !s.set_.data_centres_.empty() ||
           (s.changed_at_ != base::time_point() &&
            now - s.changed_at_ < repetition_time);
}


evacuation_set
bounded(const evacuation_set& set, const data_centre_set& with_hosts)
{
    if (set.data_centres_.size() <= max_sent_evacuations)
        return set;
    evacuation_set result{set.version_, {}};
    for (const bool has_hosts : {true, false}) {
        for (const base::data_centre_id& id : set.data_centres_) {
            if (with_hosts.contains(id) == has_hosts &&
                result.data_centres_.size() < max_sent_evacuations)
                result.data_centres_.insert(id);
        }
    }
    return result;
}

} // namespace monsoondock::entry::pvt
