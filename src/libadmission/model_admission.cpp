#include <monsoondock/admission/model_admission.hpp>

namespace monsoondock::admission {

decision model_admission::decide(
    const incoming_request& request,
    const upstream_loads& known,
    base::time_point now)
{
    arrival a;
    a.priority_ = request.priority_;
    a.prompt_tokens_ = request.prompt_tokens_;
    a.target_ = request.target_;
    a.time_left_ = request.deadline_ - now;
    a.over_share_ = shares_.is_over_share(request.workspace_, now);
    usual_deadline& usual = deadlines_[request.route_];
    a.returned_ = refused_.contains(request.fingerprint_, now) ||
                  usual.is_returned(a.time_left_);
    usual.add(a.time_left_);
    a.longest_return_ = request.longest_return_;
    a.random_fraction_ = request.random_fraction_;
    demand_.add(request.priority_, a.over_share_ || a.returned_, now);

    conditions c;
    c.upstreams_ = known.upstreams_;
    c.report_age_ = known.report_age_;
    c.refused_first_share_ = demand_.refused_first_share();
    double completions = 0;
    for (const upstream_load& u : known.upstreams_)
        completions += completions_per_second(u.times_);
    c.load_ = demand_.load(request.priority_, completions, known.daemons_, now);

    const decision result = admission::decide(a, c);
    shares_.record(request.workspace_, !result.refusal_, now);
    if (result.refusal_)
        refused_.add(request.fingerprint_, now);
    return result;
}

} // namespace monsoondock::admission
