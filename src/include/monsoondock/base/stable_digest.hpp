#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoondock::base {

/// Returns 32 hexadecimal digits, made of two stable hashes, that are the same
/// on every host. Parts are told apart, so moving a byte between neighbours
/// changes the digest. Not for secrets.
std::string stable_digest(std::initializer_list<std::string_view> parts);

} // namespace monsoondock::base
