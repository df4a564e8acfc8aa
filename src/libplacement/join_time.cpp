#include <monsoondock/placement/join_time.hpp>

#include <algorithm>

namespace monsoondock::placement {

weights_source find_weights(
    const fleet::host_info& host,
    const std::string& last_model,
    const catalog::model& m)
{
    if (last_model == m.name_)
        return weights_source::in_memory;
    const bool staged =
        std::find(host.staged_.begin(), host.staged_.end(), m.name_) !=
        host.staged_.end();
    return staged ? weights_source::on_host : weights_source::weight_store;
}


std::chrono::milliseconds
join_time(weights_source source, const catalog::model& m)
{
    switch (source) {
    case weights_source::in_memory:
        return rejoin_time;
    case weights_source::on_host:
        return m.warm_join_time_;
    case weights_source::weight_store:
        break;
    }
    return m.load_time_;
}

} // namespace monsoondock::placement
