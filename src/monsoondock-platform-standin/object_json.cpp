#include "object_json.hpp"

#include <boost/json/serialize.hpp>

namespace monsoondock::platform_standin {

namespace {

std::string key_and_version(const platform::object& o)
{
    return "{\"key\":" + boost::json::serialize(o.key_) +
           ",\"version\":" + std::to_string(o.version_.value_);
}


std::string to_element(const platform::object& o)
{
    return key_and_version(o) + ",\"value\":" + o.value_ + "}";
}


std::string to_element(const platform::change& c)
{
    if (c.deleted_)
        return key_and_version(c.object_) + ",\"deleted\":true}";
    return to_element(c.object_);
}


template <class Range>
std::string to_array(const Range& range)
{
    std::string array = "[";
    for (const auto& item : range) {
        if (array.size() > 1)
            array += ',';
        array += to_element(item);
    }
    return array + "]";
}

} // namespace

std::string to_json(const platform::object& o)
{
    return to_element(o);
}


std::string to_json(const platform::listing& l)
{
    return "{\"version\":" + std::to_string(l.version_.value_) +
           ",\"objects\":" + to_array(l.objects_) + "}";
}


std::string to_json(const platform::change_batch& b)
{
    return "{\"next\":" + std::to_string(b.next_.value_) +
           ",\"changes\":" + to_array(b.changes_) + "}";
}

} // namespace monsoondock::platform_standin
