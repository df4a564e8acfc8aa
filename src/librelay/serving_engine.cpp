#include "serving_engine.hpp"

namespace monsoondock::relay::pvt {

serving_engine find_engine(const exchange& e)
{
    for (const auto& d : e.route_->deployments_) {
        const auto* target =
            catalog::find_deployment(*e.view_->catalog_, d.deployment_);
        if (target == nullptr || !target->engine_)
            continue;
        for (const catalog::model& m : target->engine_->models_) {
            if (m.name_ == e.model_)
                return {&*target->engine_, m.time_factor_};
        }
    }
    return {};
}

} // namespace monsoondock::relay::pvt
