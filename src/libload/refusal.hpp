#pragma once

#include "raw_answer.hpp"

namespace monsoondock::load::pvt {

/// Reads an answer whose status is not 200. A body that is no problem JSON
/// gives the reason "untyped".
refused read_refusal(const raw_answer& answer, base::duration total);

} // namespace monsoondock::load::pvt
