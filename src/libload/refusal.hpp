#pragma once

#include "raw_answer.hpp"

namespace monsoondock::load::pvt {

/// Parses an answer whose status is not 200. The reason is "untyped" when the
/// body is not problem JSON.
refused read_refusal(const raw_answer& answer, base::duration total);

} // namespace monsoondock::load::pvt
