#include "replica.hpp"

namespace monsoondock::engine_standin {

const char* phase(const replica& r)
{
    if (r.group_.empty())
        return "idle";
    return is_ready(r) ? "ready" : "loading";
}


const char* role(const replica& r)
{
    if (r.group_.empty())
        return "none";
    return r.rank_ == 0 ? "head" : "member";
}


bool is_ready(const replica& r)
{
    const auto now = std::chrono::steady_clock::now();
    return !r.group_.empty() && r.ready_at_ <= now;
}

} // namespace monsoondock::engine_standin
