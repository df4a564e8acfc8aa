#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace monsoondock::crashes {

/// Identifies a part of a prompt that several requests may share, such as a
/// system prompt or a document.
using prompt_part = std::uint64_t;

/// Several parts, each once, in ascending order.
using part_set = std::vector<prompt_part>;

/// Parts of a prompt beyond this number are ignored.
inline constexpr std::size_t max_prompt_parts = 64;


/// Parses the id of a part: up to 16 hexadecimal digits are taken as a number,
/// anything else is hashed.
prompt_part parse_part(std::string_view id);


/// Parses a list of the parts of a prompt in their order, "id:tokens"
/// separated by commas, and returns the ids of all but the last one, which
/// belongs to the request or its session alone.
std::vector<prompt_part> parse_shared_parts(std::string_view list);


/// Returns the parts as a set.
part_set to_set(std::vector<prompt_part> parts);


/// Returns true when the first set holds all parts of the second.
bool holds(const part_set& parts, const part_set& others);


/// Returns the parts that two sets have in common.
part_set common_parts(const part_set& a, const part_set& b);


/// Returns the ids as hexadecimal text, separated by commas.
std::string to_text(const std::vector<prompt_part>& parts);

} // namespace monsoondock::crashes
