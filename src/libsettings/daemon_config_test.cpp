#include <monsoondock/settings/daemon_config.hpp>

#include <criterion/criterion.h>

#include <chrono>
#include <fstream>
#include <unistd.h>

using namespace monsoondock::settings;
using namespace std::chrono_literals;

namespace {

const std::string GOOD = R"(daemon = "heredia-1"
region = "cr-central"
data_centre = "heredia"
caller_address = "127.0.0.1:8001"
peer_address = "[::1]:9001"
platform_addresses = ["127.0.0.1:7001", "127.0.0.1:7002"]
peer_secret_file = "peer.secret"
)";


findings faults_of(const std::string& text)
{
    auto parsed = parse_daemon_config(text, "d.toml");
    cr_assert(std::holds_alternative<findings>(parsed), "%s", text.c_str());
    return std::get<findings>(parsed);
}


std::string replaced(const std::string& from, const std::string& to)
{
    std::string text = GOOD;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace


Test(daemon_config, reads_every_key_and_fills_defaults)
{
    auto parsed = parse_daemon_config(
        GOOD + "traffic_threads = 4\n[admission]\nmax_body_bytes = 2048\n"
               "[timeouts]\nconnect = \"250ms\"\nshutdown = \"2min\"\n",
        "d.toml");
    cr_assert(std::holds_alternative<daemon_config>(parsed));
    const auto& c = std::get<daemon_config>(parsed);
    cr_assert(c.daemon_.value_ == "heredia-1");
    cr_assert(c.data_centre_.value_ == "heredia");
    cr_assert(c.peer_address_.ip_ == "::1" && c.peer_address_.port_ == 9001);
    cr_assert(c.platform_addresses_.size() == 2);
    cr_assert(c.traffic_threads_ == 4);
    cr_assert(c.admission_.max_body_bytes_ == 2048);
    cr_assert(c.admission_.max_header_bytes_ == 16 * 1024);
    cr_assert(c.timeouts_.connect_ == 250ms);
    cr_assert(c.timeouts_.shutdown_ == 2min);
    cr_assert(c.timeouts_.platform_ == 1s);
}


Test(daemon_config, reports_all_faults_with_their_lines)
{
    const findings all = faults_of(
        GOOD + "colour = \"red\"\ntraffic_threads = 0\n[timeouts]\n"
               "connect = \"5 s\"\nheader = 5\nidle = \"2h\"\nfoo = 1\n");
    cr_assert(all.size() == 6);
    const std::string keys[] = {
        "colour",
        "traffic_threads",
        "timeouts.connect",
        "timeouts.header",
        "timeouts.idle",
        "timeouts.foo"};
    const std::uint32_t lines[] = {8, 9, 11, 12, 13, 14};
    for (std::size_t i = 0; i < all.size(); ++i) {
        cr_assert(all[i].key_ == keys[i], "%s", all[i].key_.c_str());
        cr_assert(all[i].line_ == lines[i]);
        cr_assert(all[i].file_ == "d.toml");
        cr_assert(!all[i].allowed_.empty());
    }
}


Test(daemon_config, rejects_anything_but_an_ip_address_and_a_port)
{
    const char* bad[] = {
        "localhost:8001",
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.256:80",
        "::1:80",
        "127.0.0.1:80x",
        ""};
    for (const char* address : bad) {
        const findings all = faults_of(replaced("127.0.0.1:8001", address));
        cr_assert(all.size() == 1);
        cr_assert(all[0].key_ == "caller_address");
        cr_assert(all[0].line_ == 4);
    }
}


Test(daemon_config, names_missing_duplicate_and_mistyped_keys)
{
    cr_assert(
        faults_of(replaced("region = \"cr-central\"\n", ""))[0].key_ ==
        "region");
    const findings twice = faults_of(GOOD + "region = \"x\"\n");
    cr_assert(twice[0].key_ == "region", "%s", to_string(twice[0]).c_str());
    cr_assert(twice[0].line_ == 8);
    cr_assert(
        to_string(faults_of(replaced("\"heredia\"", "7"))[0]) ==
        "d.toml:3: data_centre: is an integer; allowed: 1 to 63 lower-case "
        "letters, digits, '-', '.' or '_', beginning with a letter or digit");
    cr_assert(faults_of("daemon = \n")[0].line_ == 1);
    cr_assert(
        faults_of(replaced("[::1]:9001", "127.0.0.1:8001"))[0].key_ ==
        "peer_address");
}


Test(daemon_config, loads_the_secret_relative_to_the_file)
{
    char folder_template[] = "/tmp/monsoondock-config-XXXXXX";
    const std::filesystem::path folder = mkdtemp(folder_template);
    std::ofstream(folder / "d.toml") << GOOD;
    const auto without = load_daemon_config(folder / "d.toml");
    const auto& faults = std::get<findings>(without);
    cr_assert(faults.size() == 1);
    cr_assert(faults[0].key_ == "peer_secret_file" && faults[0].line_ == 7);
    std::ofstream(folder / "peer.secret") << "0123456789abcdef\n";
    const auto with = load_daemon_config(folder / "d.toml");
    cr_assert(std::get<daemon_config>(with).peer_secret_ == "0123456789abcdef");
    std::filesystem::remove_all(folder);
    cr_assert(std::holds_alternative<findings>(
        load_daemon_config(folder / "d.toml")));
}
