#include "authentication.hpp"

#include <monsoondock/membership/node.hpp>
#include <monsoondock/wire/frame_splitter.hpp>
#include <monsoondock/wire/limits.hpp>
#include <monsoondock/wire/opener.hpp>

#include <cstdlib>
#include <string>

using namespace monsoondock;

namespace {

const wire::key KEY{1, "the secret of the fuzz target"};
const std::string SELF = "10.0.0.1:7000";
const base::time_point NOW{std::chrono::hours(1)};


void require(bool condition)
{
    if (!condition)
        std::abort();
}


membership::node make_node()
{
    membership::member_record self;
    self.id_ = {"entry-1"};
    self.peer_ = *membership::parse_endpoint(SELF);
    self.incarnation_ = {7};
    return {membership::node_config{}, self, {}, 1};
}


/// Passes the body of an accepted envelope to the membership protocol, as a
/// daemon does.
void handle_membership_body(const std::string& body)
{
    membership::node node = make_node();
    const membership::endpoint from{0x0a000002, 7000};
    node.handle({from, body}, NOW);
    const auto out = node.tick(NOW + std::chrono::seconds(1));
    for (const auto& datagram : out.datagrams_)
        require(datagram.body_.size() <= membership::MAX_BODY_BYTES);
}


/// Opens the same bytes twice; the second time they must be dropped, as invalid
/// or as replayed.
void open_twice(const std::string& bytes)
{
    wire::opener opener({KEY, std::nullopt});
    const auto limit = wire::MAX_DATAGRAM_BYTES;
    const auto first = opener.open(bytes, SELF, limit, NOW);
    const auto second = opener.open(bytes, SELF, limit, NOW);
    require(std::holds_alternative<wire::drop_reason>(second));
    if (const auto* const e = std::get_if<wire::envelope>(&first))
        handle_membership_body(e->body_);
}


/// Adds a valid prefix and authentication code, so that the content reaches the
/// decoder.
std::string make_authentic(const std::string& content)
{
    std::string bytes;
    bytes += static_cast<char>(wire::PROTOCOL_VERSION);
    bytes += static_cast<char>(KEY.number_);
    bytes += content;
    const auto code = wire::pvt::authenticate(KEY.secret_, bytes, SELF);
    require(code.has_value());
    return bytes.append(code->data(), code->size());
}


void fuzz_frame_splitter(const std::string& bytes)
{
    constexpr std::size_t limit = 64;
    wire::frame_splitter splitter(limit);
    for (const char c : bytes) {
        splitter.add({&c, 1});
        while (const auto frame = splitter.next())
            require(frame->size() <= limit);
    }
}

} // namespace

/// Feeds one input to the decoders. The first byte selects how: as a received
/// datagram, as content to which a valid authentication code is added, as the
/// body of a membership datagram, or as the byte stream of a TCP connection.
extern "C" int
LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size)
{
    if (size == 0)
        return 0;
    const std::string rest(reinterpret_cast<const char*>(data) + 1, size - 1);
    switch (data[0] % 4) {
    case 0:
        open_twice(rest);
        break;
    case 1:
        open_twice(make_authentic(rest));
        break;
    case 2:
        handle_membership_body(rest);
        break;
    default:
        fuzz_frame_splitter(rest);
        break;
    }
    return 0;
}
