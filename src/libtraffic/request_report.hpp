#pragma once

#include <monsoondock/base/boot_clock.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoondock::traffic::pvt {

/// Statistics of a request for its log line.
struct request_report
{
    /// Group or host that was tried last.
    std::string upstream_ = "none";
    std::uint32_t attempts_ = 0;
    std::uint64_t tokens_ = 0;
    std::optional<std::chrono::nanoseconds> first_token_;
};

} // namespace monsoondock::traffic::pvt
