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


sealer make_sealer(std::uint64_t boot = 5)
{
    return {{"entry-1"}, boot, {OLD_KEY, std::nullopt}};
}


opened open(opener& o, const std::string& bytes)
{
    return o.open(bytes, SELF, MAX_DATAGRAM_BYTES, NOW);
}


bool dropped(opener& o, const std::string& bytes, drop_reason reason)
{
    const std::uint64_t before = o.drops().of(reason);
    const opened outcome = open(o, bytes);
    const auto* const got = std::get_if<drop_reason>(&outcome);
    return got && *got == reason && o.drops().of(reason) == before + 1;
}


/// Adds a valid code to any content.
std::string authentic(const std::string& content)
{
    std::string bytes("\x01\x01", 2);
    bytes += content;
    const auto code = pvt::authenticate(OLD_KEY.secret_, bytes, SELF);
    return bytes.append(code->data(), code->size());
}

} // namespace


Test(wire, an_envelope_comes_out_as_it_went_in)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const std::string body("a\0b", 3);
    const opened outcome = open(o, s.seal(channel::group_health, SELF, body));
    const envelope& e = std::get<envelope>(outcome);
    cr_assert(e.channel_ == channel::group_health);
    cr_assert(e.sender_.value_ == "entry-1");
    cr_assert(e.boot_ == 5 && e.sequence_ == 1);
    cr_assert(e.body_ == body);
}


Test(wire, the_envelope_stays_within_its_bytes)
{
    const std::string name(MAX_SENDER_BYTES, 'n');
    sealer s({name}, ~0ULL, {OLD_KEY, std::nullopt});
    const std::string sealed = s.seal(channel::membership, SELF, "");
    cr_assert(sealed.size() <= MAX_ENVELOPE_OVERHEAD_BYTES);
    opener o({OLD_KEY, std::nullopt});
    cr_assert(std::holds_alternative<envelope>(open(o, sealed)));
}


Test(wire, every_cut_is_dropped)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const std::string whole = s.seal(channel::membership, SELF, "body");
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const bool shorter_than_any = size < 2 + MAC_BYTES;
        const drop_reason reason =
            shorter_than_any ? drop_reason::truncated : drop_reason::forged;
        cr_assert(dropped(o, whole.substr(0, size), reason));
    }
}


Test(wire, every_changed_bit_is_dropped)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const std::string whole = s.seal(channel::membership, SELF, "body");
    for (std::size_t bit = 0; bit < whole.size() * 8; ++bit) {
        std::string changed = whole;
        changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ 1 << bit % 8);
        cr_assert(std::holds_alternative<drop_reason>(open(o, changed)));
    }
    cr_assert(o.drops().of(drop_reason::version) == 8);
    cr_assert(o.drops().of(drop_reason::unknown_key) == 8);
    cr_assert(o.drops().of(drop_reason::forged) == (whole.size() - 2) * 8);
}


Test(wire, oversized_old_version_and_unknown_key)
{
    sealer s = make_sealer();
    opener o({NEW_KEY, std::nullopt});
    const std::string large(MAX_DATAGRAM_BYTES, 'x');
    cr_assert(dropped(
        o, s.seal(channel::membership, SELF, large), drop_reason::oversized));
    std::string old = s.seal(channel::membership, SELF, "body");
    cr_assert(dropped(o, old, drop_reason::unknown_key));
    old[0] = 0;
    cr_assert(dropped(o, old, drop_reason::version));
}


Test(wire, an_envelope_for_another_receiver_is_dropped)
{
    sealer s = make_sealer();
    opener o({OLD_KEY, std::nullopt});
    const auto other = s.seal(channel::membership, "10.0.0.2:7000", "body");
    cr_assert(dropped(o, other, drop_reason::forged));
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
        cr_assert(dropped(o, authentic(content), drop_reason::malformed));
}


Test(wire, replays_and_earlier_lives_are_dropped)
{
    sealer first = make_sealer(5);
    sealer second = make_sealer(6);
    opener o({OLD_KEY, std::nullopt});
    const auto a = first.seal(channel::membership, SELF, "a");
    const auto b = first.seal(channel::membership, SELF, "b");
    cr_assert(std::holds_alternative<envelope>(open(o, b)));
    cr_assert(std::holds_alternative<envelope>(open(o, a)));
    cr_assert(dropped(o, a, drop_reason::replayed));
    cr_assert(dropped(o, b, drop_reason::replayed));
    const auto c = second.seal(channel::membership, SELF, "c");
    cr_assert(std::holds_alternative<envelope>(open(o, c)));
    const auto late = first.seal(channel::membership, SELF, "late");
    cr_assert(dropped(o, late, drop_reason::replayed));
}


Test(wire, the_window_forgets_nothing_within_its_width)
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


Test(wire, keys_change_without_a_gap)
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
    const auto too_old = lagging.seal(channel::membership, SELF, "c");
    cr_assert(dropped(o, too_old, drop_reason::unknown_key));
}


Test(wire, remembered_senders_are_bounded)
{
    opener o({OLD_KEY, std::nullopt});
    for (std::size_t i = 0; i < opener::max_senders + 10; ++i) {
        sealer s({std::to_string(i)}, 1, {OLD_KEY, std::nullopt});
        const auto sealed = s.seal(channel::membership, SELF, "");
        const auto outcome = o.open(
            sealed, SELF, MAX_DATAGRAM_BYTES, NOW + std::chrono::seconds(i));
        cr_assert(std::holds_alternative<envelope>(outcome));
    }
}


Test(frame_splitter, bytes_in_any_pieces_give_the_same_frames)
{
    const std::string stream =
        make_frame("one") + make_frame("") + make_frame(std::string(300, 'x'));
    for (std::size_t piece = 1; piece < stream.size(); ++piece) {
        frame_splitter splitter(1000);
        std::vector<std::string> frames;
        for (std::size_t at = 0; at < stream.size(); at += piece) {
            cr_assert(splitter.add(stream.substr(at, piece)));
            while (auto frame = splitter.next())
                frames.push_back(*frame);
        }
        cr_assert(frames.size() == 3);
        cr_assert(frames[2] == std::string(300, 'x'));
    }
}


Test(frame_splitter, a_frame_beyond_the_limit_ends_it)
{
    frame_splitter splitter(10);
    cr_assert(!splitter.add(make_frame(std::string(11, 'x'))));
    cr_assert(!splitter.next());
    cr_assert(!splitter.add("more"));
}
