#include <monsoondock/claims/claim_record.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::claims;
using namespace std::chrono_literals;

namespace {

claim_record finished_record(std::string body)
{
    claim_record r;
    r.call_ = {{"resinas"}, {"ledger-app"}, {"lot-7"}};
    r.token_ = {"t1"};
    r.fingerprint_ = fingerprint_request("POST", "/payouts", "{}");
    r.owner_ = {{"heredia-1"}, 4};
    r.phase_ = claim_phase::finished;
    r.claimed_at_ = wall_time(5s);
    r.expected_end_ = wall_time(9s);
    r.outcome_ = to_kept_outcome({201, "text/plain", std::move(body)});
    return r;
}

} // namespace


Test(claim_record, binary_bodies_of_every_length_survive_encoding)
{
    std::string body;
    for (int length = 0; length < 300; ++length) {
        const claim_record r = finished_record(body);
        const auto decoded = decode_claim(encode(r));
        cr_assert(base::ok(decoded));
        cr_assert(base::value(decoded) == r, "length %d", length);
        body.push_back(static_cast<char>(length * 37));
    }
}


Test(claim_record, body_above_the_limit_is_replaced_by_length_and_digest)
{
    const std::string body(MAX_KEPT_BODY_BYTES + 1, 'x');
    const claim_record r = finished_record(body);
    cr_assert(!r.outcome_->body_);
    const auto replayed = replay(*r.outcome_);
    cr_assert(replayed.status_ == 201);
    cr_assert(replayed.body_.find("\"body_bytes\":65537") != body.npos);
    cr_assert(encode(r).size() < 1024);
}


Test(claim_record, damaged_text_is_corrupt)
{
    const std::string text = encode(finished_record("paid"));
    for (std::size_t length = 0; length < text.size(); ++length)
        cr_assert(!base::ok(decode_claim(text.substr(0, length))));
    cr_assert(!base::ok(decode_claim("[]")));
    cr_assert(!base::ok(decode_claim("{\"phase\":\"sent\"}")));
}


Test(claim_record, equal_concatenations_of_key_parts_have_distinct_object_keys)
{
    const call_key a{{"ab"}, {"c"}, {"1"}};
    const call_key b{{"a"}, {"bc"}, {"1"}};
    cr_assert(claim_object_key(a) != claim_object_key(b));
    cr_assert(claim_object_key(a).size() == CLAIM_PREFIX.size() + 32);
}
