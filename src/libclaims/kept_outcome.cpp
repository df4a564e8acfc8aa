#include <monsoondock/base/stable_digest.hpp>
#include <monsoondock/claims/kept_outcome.hpp>

#include <boost/json.hpp>

namespace monsoondock::claims {

namespace {

std::string describe_omitted_body(const kept_outcome& outcome)
{
    const boost::json::object statement{
        {"title", "The call ran once; its answer was too large to keep"},
        {"body_bytes", outcome.body_bytes_},
        {"body_digest", outcome.body_digest_}};
    return boost::json::serialize(statement);
}

} // namespace


kept_outcome
to_kept_outcome(const upstream_response& response, std::size_t limit)
{
    kept_outcome outcome;
    outcome.status_ = response.status_;
    outcome.content_type_ = response.content_type_;
    outcome.body_bytes_ = response.body_.size();
    outcome.body_digest_ = base::stable_digest({response.body_});
    if (response.body_.size() <= limit)
        outcome.body_ = response.body_;
    return outcome;
}


upstream_response replay(const kept_outcome& outcome)
{
    if (outcome.body_)
        return {outcome.status_, outcome.content_type_, *outcome.body_};
    return {
        outcome.status_, "application/json", describe_omitted_body(outcome)};
}

} // namespace monsoondock::claims
