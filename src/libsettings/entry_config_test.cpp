#include <monsoondock/settings/entry_config.hpp>

#include <criterion/criterion.h>

using namespace monsoondock::settings;
using namespace std::chrono_literals;

namespace {

const std::string GOOD = R"(daemon = "front-heredia-1"
region = "cr-central"
data_centre = "heredia"
caller_address = "10.1.0.40:8227"
ready_address = "10.1.0.40:8220"
directory_address = "10.1.0.40:8224"
peer_address = "10.1.0.40:7340"
metrics_address = "10.1.0.40:7341"
platform_address = "10.200.1.7:8223"
)";


findings faults_of(const std::string& text)
{
    auto parsed = parse_entry_config(text, "e.toml");
    cr_assert(std::holds_alternative<findings>(parsed), "%s", text.c_str());
    return std::get<findings>(parsed);
}

} // namespace

Test(entry_config, reads_every_key_and_fills_defaults)
{
    auto parsed = parse_entry_config(
        GOOD + "seed_hosts = [\"10.2.0.29:8229\"]\nfirst_start = true\n"
               "grace = \"5s\"\n[retries]\nratio = 0.2\nslack = 107\n",
        "e.toml");
    cr_assert(std::holds_alternative<entry_config>(parsed));
    const auto& c = std::get<entry_config>(parsed);
    cr_assert(c.daemon_.value_ == "front-heredia-1");
    cr_assert_eq(c.peer_address_.port_, 7340);
    cr_assert_eq(c.seed_hosts_.size(), 1);
    cr_assert(c.first_start_);
    cr_assert(c.grace_ == 5s);
    cr_assert(c.directory_ttl_ == 2s);
    cr_assert_float_eq(c.retries_.ratio_, 0.2, 1e-9);
    cr_assert_float_eq(c.retries_.slack_, 107, 1e-9);
    cr_assert(c.retries_.window_ == 10s);
    // Guards existing installations against another admission.
    cr_assert(c.admission_ == admission_rule::queue);
}


Test(entry_config, reads_the_admission_rule)
{
    const auto read = [](const std::string& value) {
        return parse_entry_config(
            GOOD + "admission = " + value + "\n", "e.toml");
    };
    const auto latency = read("\"latency\"");
    cr_assert(std::holds_alternative<entry_config>(latency));
    cr_expect(
        std::get<entry_config>(latency).admission_ == admission_rule::latency);
    const auto queue = read("\"queue\"");
    cr_assert(std::holds_alternative<entry_config>(queue));
    cr_expect(
        std::get<entry_config>(queue).admission_ == admission_rule::queue);
    const auto unknown = read("\"fast\"");
    cr_assert(std::holds_alternative<findings>(unknown));
    cr_expect(std::get<findings>(unknown)[0].key_ == "admission");
}


Test(entry_config, reports_all_faults_with_their_lines)
{
    const findings all = faults_of(
        GOOD + "colour = \"red\"\ngrace = 5\n[retries]\nratio = 2.0\n");
    cr_assert_eq(all.size(), 3);
    cr_assert(all[0].key_ == "colour" && all[0].line_ == 10);
    cr_assert(all[1].key_ == "grace" && all[1].line_ == 11);
    cr_assert(all[2].key_ == "retries.ratio" && all[2].line_ == 13);
}


Test(entry_config, a_missing_address_is_a_fault)
{
    std::string text = GOOD;
    text.erase(text.find("platform_address"));
    const findings all = faults_of(text);
    cr_assert_eq(all.size(), 1);
    cr_assert(all[0].key_ == "platform_address");
}


namespace {

entry_config parse_valid(const std::string& text)
{
    auto parsed = parse_entry_config(text, "e.toml");
    cr_assert(std::holds_alternative<entry_config>(parsed), "%s", text.c_str());
    return std::get<entry_config>(parsed);
}

} // namespace

Test(entry_config, every_number_may_be_whole_or_a_fraction)
{
    const entry_config whole = parse_valid(
        GOOD + "max_connections = 500\ngrace = \"8s\"\n"
               "directory_ttl = \"2s\"\n"
               "[retries]\nratio = 1\nslack = 471\nwindow = \"10s\"\n");
    cr_assert_float_eq(whole.retries_.ratio_, 1, 1e-9);
    cr_assert_float_eq(whole.retries_.slack_, 471, 1e-9);
    const entry_config fractions = parse_valid(
        GOOD + "max_connections = 500.0\ngrace = \"7.5s\"\n"
               "directory_ttl = \"0.25s\"\n"
               "[retries]\nratio = 0.5\nslack = 471.6\nwindow = \"10.0s\"\n");
    cr_assert_eq(fractions.max_connections_, 500);
    cr_assert(fractions.grace_ == 7500ms);
    cr_assert(fractions.directory_ttl_ == 250ms);
    cr_assert_float_eq(fractions.retries_.ratio_, 0.5, 1e-9);
    cr_assert_float_eq(fractions.retries_.slack_, 471.6, 1e-9);
    cr_assert(fractions.retries_.window_ == 10s);
}


Test(entry_config, malformed_numbers_are_faults)
{
    for (const char* line :
         {"max_connections = 1.5\n",
          "max_connections = -1.0\n",
          "grace = \"-5s\"\n",
          "grace = \"5e1s\"\n",
          "grace = \"infs\"\n",
          "grace = \".5s\"\n",
          "grace = \"5\"\n"})
        cr_assert_eq(faults_of(GOOD + line).size(), 1, "%s", line);
}


// An installation whose file does not name the key is served as before.
Test(entry_config, learned_capacity_is_off_unless_set)
{
    const auto plain = parse_entry_config(GOOD, "e.toml");
    cr_assert_not(std::get<entry_config>(plain).learned_capacity_);
    const auto set =
        parse_entry_config(GOOD + "learned_capacity = true\n", "e.toml");
    cr_assert(std::get<entry_config>(set).learned_capacity_);
    cr_assert_eq(faults_of(GOOD + "learned_capacity = 1\n").size(), 1);
}
