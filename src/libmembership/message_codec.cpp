#include "message_codec.hpp"

#include <monsoondock/membership/datagram.hpp>

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <stdexcept>

namespace monsoondock::membership::pvt {

namespace {

/// Encoded size of a record without the text of its names.
constexpr std::size_t FIXED_RECORD_BYTES = 41;


using writer = cereal::PortableBinaryOutputArchive;
using reader = cereal::PortableBinaryInputArchive;

// Composite types have one transfer function for both archives, so that
// encoding and decoding cannot diverge. A value out of range throws
// std::range_error, which decode catches.

void require(bool in_range)
{
    if (!in_range)
        throw std::range_error("value out of range");
}


void transfer(writer& out, const std::string& text)
{
    const auto size = static_cast<std::uint8_t>(text.size());
    out(size, cereal::binary_data(text.data(), text.size()));
}


void transfer(reader& in, std::string& text)
{
    std::uint8_t size = 0;
    in(size);
    require(size <= MAX_NAME_BYTES);
    text.resize(size);
    in(cereal::binary_data(text.data(), text.size()));
}


template <class Archive, class Tag>
void transfer(Archive& archive, const base::identifier<Tag>& id)
{
    transfer(archive, id.value_);
}


template <class Archive, class Tag>
void transfer(Archive& archive, base::identifier<Tag>& id)
{
    transfer(archive, id.value_);
}


template <class Enum>
void transfer_enum(writer& out, const Enum& value, Enum)
{
    out(static_cast<std::uint8_t>(value));
}


template <class Enum>
void transfer_enum(reader& in, Enum& value, Enum last)
{
    std::uint8_t number = 0;
    in(number);
    require(number <= static_cast<std::uint8_t>(last));
    value = static_cast<Enum>(number);
}


void transfer_flag(writer& out, bool value)
{
    out(static_cast<std::uint8_t>(value));
}


void transfer_flag(reader& in, bool& value)
{
    std::uint8_t number = 0;
    in(number);
    require(number <= 1);
    value = number == 1;
}


template <class Archive, class Endpoint>
requires std::same_as<std::remove_const_t<Endpoint>, endpoint>
void transfer(Archive& archive, Endpoint& e)
{
    archive(e.address_, e.port_);
}


template <class Archive, class Status>
requires std::same_as<std::remove_const_t<Status>, member_status>
void transfer(Archive& archive, Status& status)
{
    archive(status.sequence_);
    archive(status.settings_revision_);
    archive(status.load_permille_);
    transfer_enum(archive, status.entry_mode_, entry_mode::detouring);
}


template <class Archive, class Record>
requires std::same_as<std::remove_const_t<Record>, member_record>
void transfer(Archive& archive, Record& record)
{
    transfer(archive, record.id_);
    transfer(archive, record.data_centre_);
    transfer(archive, record.region_);
    transfer(archive, record.peer_);
    transfer(archive, record.caller_);
    archive(record.capacity_permille_);
    archive(record.incarnation_.value_);
    transfer_enum(archive, record.state_, member_state::dead);
    transfer(archive, record.status_);
}


template <class Archive, class RowType>
requires std::same_as<std::remove_const_t<RowType>, status_row>
void transfer(Archive& archive, RowType& row)
{
    archive(row.name_hash_);
    archive(row.incarnation_low_);
    transfer(archive, row.status_);
}


template <class Archive, class Header>
requires std::same_as<std::remove_const_t<Header>, sender_header>
void transfer(Archive& archive, Header& header)
{
    transfer(archive, header.id_);
    archive(header.incarnation_.value_);
    transfer_enum(archive, header.state_, member_state::dead);
    transfer(archive, header.status_);
    archive(header.highest_revision_);
}


template <class Archive, class Body>
void transfer_body(Archive& archive, Body& body)
{
    using body_type = std::remove_const_t<Body>;
    if constexpr (std::same_as<body_type, ack>) {
        archive(body.sequence_);
        transfer(archive, body.subject_);
    } else if constexpr (std::same_as<body_type, sync>) {
        transfer_flag(archive, body.wants_reply_);
        for (auto& hash : body.digest_)
            archive(hash);
    } else if constexpr (!std::same_as<body_type, gossip>) {
        archive(body.sequence_);
        transfer(archive, body.target_);
    }
}


void write_body(writer& out, const message_body& body)
{
    out(static_cast<std::uint8_t>(body.index()));
    std::visit(
        [&](const auto& alternative) { transfer_body(out, alternative); },
        body);
}


message_body make_body(std::uint8_t kind)
{
    switch (kind) {
    case 0:
        return ping{};
    case 1:
        return ack{};
    case 2:
        return ping_request{};
    case 3:
        return sync{};
    case 4:
        return gossip{};
    default:
        throw std::range_error("unknown message kind");
    }
}


void read_body(reader& in, message_body& body)
{
    std::uint8_t kind = 0;
    in(kind);
    body = make_body(kind);
    std::visit(
        [&](auto& alternative) { transfer_body(in, alternative); }, body);
}


template <class Item>
void write_list(writer& out, const std::vector<Item>& items)
{
    out(static_cast<std::uint8_t>(items.size()));
    for (const Item& item : items)
        transfer(out, item);
}


template <class Item>
void read_list(reader& in, std::vector<Item>& items)
{
    std::uint8_t count = 0;
    in(count);
    items.resize(count);
    for (Item& item : items)
        transfer(in, item);
}


message read(std::istream& stream)
{
    message m;
    reader in(stream);
    transfer(in, m.sender_);
    read_body(in, m.body_);
    read_list(in, m.records_);
    read_list(in, m.rows_);
    require(stream.peek() == std::istream::traits_type::eof());
    return m;
}

} // namespace

std::size_t encoded_size(const member_record& record)
{
    return FIXED_RECORD_BYTES + record.id_.value_.size() +
           record.data_centre_.value_.size() + record.region_.value_.size();
}


std::string encode(const message& m)
{
    std::ostringstream stream;
    {
        writer out(stream);
        transfer(out, m.sender_);
        write_body(out, m.body_);
        write_list(out, m.records_);
        write_list(out, m.rows_);
    }
    return std::move(stream).str();
}


std::optional<message> decode(const std::string& body)
{
    if (body.size() > MAX_BODY_BYTES)
        return std::nullopt;
    try {
        std::istringstream stream(body);
        return read(stream);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace monsoondock::membership::pvt
