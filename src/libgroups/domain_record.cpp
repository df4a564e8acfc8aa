#include <monsoondock/groups/domain_checks.hpp>
#include <monsoondock/groups/domain_record.hpp>

#include <boost/json.hpp>

namespace monsoondock::groups {

namespace json = boost::json;

namespace {

json::object to_json(const group_record& group)
{
    json::array hosts;
    for (const base::host_id& host : group.hosts_)
        hosts.emplace_back(host.value_);
    return json::object{
        {"id", group.id_.value_},
        {"deployment", group.deployment_.value_},
        {"hosts", std::move(hosts)},
        {"generation", group.generation_.value_},
        {"phase", to_string(group.phase_)}};
}


std::string read_text(const json::object& from, const char* key)
{
    return json::value_to<std::string>(from.at(key));
}


std::uint64_t read_number(const json::object& from, const char* key)
{
    return from.at(key).to_number<std::uint64_t>();
}


group_record read_group(const json::object& from)
{
    group_record group;
    group.id_ = base::group_id{read_text(from, "id")};
    group.deployment_ = base::deployment_id{read_text(from, "deployment")};
    for (const json::value& host : from.at("hosts").as_array())
        group.hosts_.push_back(
            base::host_id{json::value_to<std::string>(host)});
    group.generation_ = base::generation{read_number(from, "generation")};
    const auto phase = parse_group_phase(read_text(from, "phase"));
    if (!phase)
        throw std::invalid_argument("unknown group phase");
    group.phase_ = *phase;
    return group;
}


domain_record read_record(const json::object& from)
{
    domain_record record;
    record.domain_ = base::fabric_domain_id{read_text(from, "domain")};
    record.leader_.term_ = read_number(from, "term");
    record.leader_.daemon_ = base::daemon_id{read_text(from, "leader")};
    record.leader_.incarnation_ = read_number(from, "incarnation");
    record.challenged_ = from.at("challenged").as_bool();
    record.next_generation_ =
        base::generation{read_number(from, "next_generation")};
    for (const json::value& group : from.at("groups").as_array())
        record.groups_.push_back(read_group(group.as_object()));
    return record;
}


base::problem corrupt(std::string_view reason)
{
    return base::problem{
        base::problem_code::corrupt,
        std::string("domain record: ").append(reason),
        "compare the object with docs/design/groups.md"};
}

} // namespace

std::string domain_key(const base::fabric_domain_id& domain)
{
    return "domains/" + domain.value_;
}


std::string encode(const domain_record& record)
{
    json::array groups;
    for (const group_record& group : record.groups_)
        groups.emplace_back(to_json(group));
    return json::serialize(json::object{
        {"domain", record.domain_.value_},
        {"term", record.leader_.term_},
        {"leader", record.leader_.daemon_.value_},
        {"incarnation", record.leader_.incarnation_},
        {"challenged", record.challenged_},
        {"next_generation", record.next_generation_.value_},
        {"groups", std::move(groups)}});
}


base::result<domain_record> decode_domain_record(std::string_view text)
{
    // Boost.JSON throws on a missing key or a wrong type.
    try {
        domain_record record = read_record(json::parse(text).as_object());
        if (const auto refusal = check_record(record))
            return corrupt(refusal->message_);
        return record;
    } catch (const std::exception& e) {
        return corrupt(e.what());
    }
}

} // namespace monsoondock::groups
