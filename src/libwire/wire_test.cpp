#include "authentication.hpp"

#include <monsoondock/wire/frame_splitter.hpp>
#include <monsoondock/wire/limits.hpp>
#include <monsoondock/wire/opener.hpp>
#include <monsoondock/wire/sealer.hpp>

#include <criterion/criterion.h>

using namespace monsoondock;
using namespace monsoondock::wire;

namespace {

const key OLD_KEY{1, "an old secret of the daemons"};
const key NEW_KEY{2, "a new secret of the daemons"};
const std::string SELF = "10.0.0.1:7000";
const base::time_point NOW{std::chrono::hours(1)};


sealer make_sealer(std::uint64_t incarnation = 5)
{
    return {{"entry-1"}, incarnation, {OLD_KEY, std::nullopt}};
}


open_result open(opener& o, const std::string& bytes)
{
    return o.open(bytes, SELF, MAX_DATAGRAM_BYTES, NOW);
}


bool is_dropped(opener& o, const std::string& bytes, drop_reason reason)
{
    const std::uint64_t before = o.drops().of(reason);
    const open_result result = open(o, bytes);
    const auto* const actual = std::get_if<drop_reason>(&result);
    return actual && *actual == reason && o.drops().of(reason) == before + 1;
}


/// Adds a valid prefix and authentication code to any content.
std::string make_authentic(const std::string& content)
{
    std::string bytes("\x01\x01", 2);
    bytes += content;
    const auto code = pvt::authenticate(OLD_KEY.secret_, bytes, SELF);
    return bytes.append(code->data(), code->size());
}

} // namespace


Test(wire, seal_and_open_preserve_the_envelope)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const std::string body("a\0b", 3);
    const open_result result =
        open(o, s.seal(channel::group_health, SELF, body));
    const envelope& e = std::get<envelope>(result);
    cr_assert(e.channel_ == channel::group_health);
    cr_assert(e.sender_.value_ == "entry-1");
    cr_assert(e.incarnation_ == 5 && e.sequence_ == 1);
    cr_assert(e.body_ == body);
}


Test(wire, envelope_overhead_stays_within_its_bound)
{
    const std::string name(MAX_SENDER_BYTES, 'n');
    sealer s({name}, ~0ULL, {OLD_KEY, std::nullopt});
    const std::string sealed = s.seal(channel::membership, SELF, "");
    cr_assert(sealed.size() <= MAX_ENVELOPE_OVERHEAD_BYTES);
    opener o({OLD_KEY, std::nullopt});
    cr_assert(std::holds_alternative<envelope>(open(o, sealed)));
}


Test(wire, truncation_at_any_length_is_dropped)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const std::string sealed = s.seal(channel::membership, SELF, "body");
    for (std::size_t size = 0; size < sealed.size(); ++size) {
        const bool below_minimum = size < 2 + MAC_BYTES;
        const drop_reason reason =
            below_minimum ? drop_reason::truncated : drop_reason::forged;
        cr_assert(is_dropped(o, sealed.substr(0, size), reason));
    }
}


Test(wire, any_flipped_bit_is_dropped)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const std::string sealed = s.seal(channel::membership, SELF, "body");
    for (std::size_t bit = 0; bit < sealed.size() * 8; ++bit) {
        std::string changed = sealed;
        changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ 1 << bit % 8);
        cr_assert(std::holds_alternative<drop_reason>(open(o, changed)));
    }
    cr_assert(o.drops().of(drop_reason::version) == 8);
    cr_assert(o.drops().of(drop_reason::unknown_key) == 8);
    cr_assert(o.drops().of(drop_reason::forged) == (sealed.size() - 2) * 8);
}


Test(wire, oversized_old_version_and_unknown_key_are_dropped)
{
    sealer s = make_sealer();
    opener o({NEW_KEY, std::nullopt});
    const std::string large(MAX_DATAGRAM_BYTES, 'x');
    cr_assert(is_dropped(
        o, s.seal(channel::membership, SELF, large), drop_reason::oversized));
    std::string old = s.seal(channel::membership, SELF, "body");
    cr_assert(is_dropped(o, old, drop_reason::unknown_key));
    old[0] = 0;
    cr_assert(is_dropped(o, old, drop_reason::version));
}


Test(wire, an_envelope_for_another_receiver_is_dropped)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const auto other = s.seal(channel::membership, "10.0.0.2:7000", "body");
    cr_assert(is_dropped(o, other, drop_reason::forged));
}


Test(wire, authentic_but_malformed_content_is_dropped)
{
    opener o({OLD_KEY, std::nullopt});
    const std::string contents[] = {
        "",
        std::string("\x01\x09", 2),
        std::string("\x01\x00\x00", 3),
        std::string(
            "\x01\x00\x05"
            "ab",
            5),
        std::string("\x01\x00\x7f", 3) + std::string(127, 'a')};
    for (const std::string& content : contents)
        cr_assert(
            is_dropped(o, make_authentic(content), drop_reason::malformed));
}


Test(wire, replays_and_earlier_incarnations_are_dropped)
{
    sealer first = make_sealer(5);
    sealer second = make_sealer(6);
    opener o({OLD_KEY, std::nullopt});
    const auto a = first.seal(channel::membership, SELF, "a");
    const auto b = first.seal(channel::membership, SELF, "b");
    cr_assert(std::holds_alternative<envelope>(open(o, b)));
    cr_assert(std::holds_alternative<envelope>(open(o, a)));
    cr_assert(is_dropped(o, a, drop_reason::replayed));
    cr_assert(is_dropped(o, b, drop_reason::replayed));
    const auto c = second.seal(channel::membership, SELF, "c");
    cr_assert(std::holds_alternative<envelope>(open(o, c)));
    const auto late = first.seal(channel::membership, SELF, "late");
    cr_assert(is_dropped(o, late, drop_reason::replayed));
}


Test(wire, replay_window_covers_its_full_width)
{
    replay_window window;
    cr_assert(window.accept(1, 5000));
    cr_assert(window.accept(1, 5000 - replay_window::width + 1));
    cr_assert(!window.accept(1, 5000 - replay_window::width));
    cr_assert(!window.accept(1, 5000 - replay_window::width + 1));
    cr_assert(window.accept(1, 5001));
    cr_assert(!window.accept(1, 5000));
    cr_assert(window.accept(1, ~0ULL));
    cr_assert(!window.accept(1, 5002));
}


Test(wire, key_rotation_loses_no_envelope)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    o.set_keys({NEW_KEY, OLD_KEY});
    const auto with_old = s.seal(channel::membership, SELF, "a");
    cr_assert(std::holds_alternative<envelope>(open(o, with_old)));
    s.set_keys({NEW_KEY, OLD_KEY});
    const auto with_new = s.seal(channel::membership, SELF, "b");
    cr_assert(std::holds_alternative<envelope>(open(o, with_new)));
    o.set_keys({NEW_KEY, std::nullopt});
    sealer lagging = make_sealer(7);
    const auto sealed_with_old = lagging.seal(channel::membership, SELF, "c");
    cr_assert(is_dropped(o, sealed_with_old, drop_reason::unknown_key));
}


Test(wire, number_of_tracked_senders_is_bounded)
{
    opener o({OLD_KEY, std::nullopt});
    for (std::size_t i = 0; i < opener::max_senders + 10; ++i) {
        sealer s({std::to_string(i)}, 1, {OLD_KEY, std::nullopt});
        const auto sealed = s.seal(channel::membership, SELF, "");
        const auto result = o.open(
            sealed, SELF, MAX_DATAGRAM_BYTES, NOW + std::chrono::seconds(i));
        cr_assert(std::holds_alternative<envelope>(result));
    }
}


Test(frame_splitter, frames_do_not_depend_on_chunk_boundaries)
{
    const std::string stream =
        make_frame("one") + make_frame("") + make_frame(std::string(300, 'x'));
    for (std::size_t chunk_size = 1; chunk_size < stream.size(); ++chunk_size) {
        frame_splitter splitter(1000);
        std::vector<std::string> frames;
        for (std::size_t offset = 0; offset < stream.size();
             offset += chunk_size) {
            cr_assert(splitter.add(stream.substr(offset, chunk_size)));
            while (auto frame = splitter.next())
                frames.push_back(*frame);
        }
        cr_assert(frames.size() == 3);
        cr_assert(frames[2] == std::string(300, 'x'));
    }
}


Test(frame_splitter, oversized_frame_stops_the_splitter)
{
    frame_splitter splitter(10);
    cr_assert(!splitter.add(make_frame(std::string(11, 'x'))));
    cr_assert(!splitter.next());
    cr_assert(!splitter.add("more"));
}
