#pragma once

#include <string>
#include <string_view>

namespace monsoondock::standin::pvt {

/// Decodes each %XX escape; malformed escapes are left unchanged.
std::string percent_decode(std::string_view text);

} // namespace monsoondock::standin::pvt
