#include "json_text.hpp"

#include <boost/json/serialize.hpp>

namespace monsoondock::platform_standin {

namespace {

std::string head_of(const platform::object& o)
{
    return "{\"key\":" + boost::json::serialize(o.key_) +
           ",\"version\":" + std::to_string(o.version_.value_);
}


std::string element(const platform::object& o)
{
    return head_of(o) + ",\"value\":" + o.value_ + "}";
}


std::string element(const platform::change& c)
{
    if (c.deleted_)
        return head_of(c.object_) + ",\"deleted\":true}";
    return element(c.object_);
}


template <class Range>
std::string to_array(const Range& range)
{
    std::string text = "[";
    for (const auto& item : range) {
        if (text.size() > 1)
            text += ',';
        text += element(item);
    }
    return text + "]";
}

} // namespace

std::string to_json(const platform::object& o)
{
    return element(o);
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
