#pragma once

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include <exception>
#include <string_view>
#include <vector>

namespace monsoondock::platform {

/// Parses the JSON body of a store's response. The values of its objects are
/// text of other writers, and Boost.JSON rejects a whole text for one unpaired
/// surrogate or for more than 32 nested levels in it. Therefore, members of
/// objects and elements of arrays that it rejects are left out and the rest is
/// kept. A member called value_name is kept or left out as a whole, so that no
/// value is read without some of its fields. Invalid UTF-8 is accepted.
///
/// Throws an exception derived from std::exception when the body isn't an
/// object or its first levels are malformed.
boost::json::value
parse_store_body(std::string_view body, std::string_view value_name);


/// Reads the elements of an array with reader, which takes a
/// boost::json::object. Leaves out those for which it throws, as they lack a
/// field or have one of another type.
template <class Element, class Reader>
std::vector<Element>
read_elements(const boost::json::array& elements, Reader reader)
{
    std::vector<Element> result;
    for (const boost::json::value& element : elements) {
        try {
            result.push_back(reader(element.as_object()));
        } catch (const std::exception&) {
            continue;
        }
    }
    return result;
}

} // namespace monsoondock::platform
