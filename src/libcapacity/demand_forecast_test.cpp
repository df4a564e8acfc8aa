#include <monsoondock/capacity/demand_forecast.hpp>

#include <criterion/criterion.h>

#include <cmath>

using namespace monsoondock;
using namespace monsoondock::capacity;
using namespace std::chrono_literals;


Test(demand_forecast, empty_history_gives_empty_forecast)
{
    const auto f = forecast({}, base::time_point(1h), 10min);
    cr_assert(f.scenarios_.empty());
    cr_assert(need_probability(f, 1) == 0);
}


Test(demand_forecast, scenario_weights_add_up_to_one)
{
    demand_history history;
    base::time_point now{};
    for (int slot = 0; slot < 2 * 288; ++slot) {
        now += slot_length;
        add_demand(history, slot % 7, now);
    }
    double sum = 0;
    for (const auto& s : forecast(history, now, 20min).scenarios_)
        sum += s.weight_;
    cr_assert(std::abs(sum - 1.0) < 1e-9);
}


Test(demand_forecast, daily_rise_is_forecast_in_advance)
{
    demand_history history;
    base::time_point now{};
    const auto at = [](base::time_point t) {
        return t.time_since_epoch() % 24h >= 8h ? 6.0 : 1.0;
    };
    while (now < base::time_point(48h + 7h + 50min)) {
        now += slot_length;
        add_demand(history, at(now), now);
    }
    cr_assert(need_probability(forecast(history, now, 20min), 6) >= 0.5);
}


Test(demand_history, slots_older_than_a_week_are_removed)
{
    demand_history history;
    add_demand(history, 1, base::time_point(1h));
    add_demand(history, 2, base::time_point(1h + 24h * 8));
    cr_assert(history.slots_.size() == 1);
}
