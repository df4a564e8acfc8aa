#include "base64.hpp"

#include <monsoondock/base/stable_digest.hpp>
#include <monsoondock/claims/claim_record.hpp>

#include <boost/json.hpp>

#include <array>

namespace monsoondock::claims {

namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 3> PHASE_NAMES{
    "claimed", "finished", "indeterminate"};


json::object to_json(const kept_outcome& outcome)
{
    json::object o{
        {"status", outcome.status_},
        {"content_type", outcome.content_type_},
        {"body_bytes", outcome.body_bytes_},
        {"body_digest", outcome.body_digest_}};
    if (outcome.body_)
        o["body_base64"] = pvt::encode_base64(*outcome.body_);
    return o;
}


std::string text_at(const json::object& o, std::string_view name)
{
    return json::value_to<std::string>(o.at(name));
}


std::uint64_t number_at(const json::object& o, std::string_view name)
{
    return o.at(name).to_number<std::uint64_t>();
}


wall_time time_at(const json::object& o, std::string_view name)
{
    const auto since_epoch = o.at(name).to_number<std::int64_t>();
    return wall_time(std::chrono::milliseconds(since_epoch));
}


std::optional<claim_phase> parse_phase(std::string_view name)
{
    for (std::size_t i = 0; i < PHASE_NAMES.size(); ++i)
        if (PHASE_NAMES[i] == name)
            return static_cast<claim_phase>(i);
    return std::nullopt;
}


std::optional<kept_outcome> parse_outcome(const json::object& o)
{
    kept_outcome outcome;
    outcome.status_ = static_cast<unsigned>(number_at(o, "status"));
    outcome.content_type_ = text_at(o, "content_type");
    outcome.body_bytes_ = number_at(o, "body_bytes");
    outcome.body_digest_ = text_at(o, "body_digest");
    if (!o.contains("body_base64"))
        return outcome;
    outcome.body_ = pvt::decode_base64(text_at(o, "body_base64"));
    if (!outcome.body_ || outcome.body_->size() != outcome.body_bytes_)
        return std::nullopt;
    return outcome;
}


base::problem corrupt(std::string message)
{
    return {base::problem_code::corrupt, std::move(message), ""};
}


claim_record parse_fields(const json::object& o)
{
    claim_record r;
    r.call_.workspace_.value_ = text_at(o, "workspace");
    r.call_.service_.value_ = text_at(o, "service");
    r.call_.key_.value_ = text_at(o, "key");
    r.token_.value_ = text_at(o, "token");
    r.fingerprint_.value_ = text_at(o, "fingerprint");
    r.owner_.daemon_.value_ = text_at(o, "owner");
    r.owner_.incarnation_ = number_at(o, "incarnation");
    r.claimed_at_ = time_at(o, "claimed_at_ms");
    r.expected_end_ = time_at(o, "expected_end_ms");
    return r;
}


base::result<claim_record> parse_record(const json::object& o)
{
    claim_record r = parse_fields(o);
    const auto phase = parse_phase(text_at(o, "phase"));
    if (!phase)
        return corrupt("claim record has an unknown phase");
    r.phase_ = *phase;
    if (r.phase_ != claim_phase::finished)
        return r;
    r.outcome_ = parse_outcome(o.at("outcome").as_object());
    if (!r.outcome_)
        return corrupt("stored body in the claim record is not valid base64 or "
                       "differs from its stored length");
    return r;
}

} // namespace


std::string encode(const claim_record& r)
{
    json::object o{
        {"workspace", r.call_.workspace_.value_},
        {"service", r.call_.service_.value_},
        {"key", r.call_.key_.value_},
        {"token", r.token_.value_},
        {"fingerprint", r.fingerprint_.value_},
        {"owner", r.owner_.daemon_.value_},
        {"incarnation", r.owner_.incarnation_},
        {"phase", PHASE_NAMES[static_cast<std::size_t>(r.phase_)]},
        {"claimed_at_ms", r.claimed_at_.time_since_epoch().count()},
        {"expected_end_ms", r.expected_end_.time_since_epoch().count()}};
    if (r.outcome_)
        o["outcome"] = to_json(*r.outcome_);
    return json::serialize(o);
}


base::result<claim_record> decode_claim(std::string_view text)
{
    // Boost.JSON throws on a missing field or a wrong type.
    try {
        return parse_record(json::parse(text).as_object());
    } catch (const std::exception& e) {
        return corrupt(std::string("malformed claim record: ") + e.what());
    }
}


request_fingerprint fingerprint_request(
    std::string_view method, std::string_view target, std::string_view body)
{
    return {base::stable_digest({method, target, body})};
}

} // namespace monsoondock::claims
