#include "read_values.hpp"
#include "text_file.hpp"

#include <monsoondock/settings/daemon_config.hpp>


namespace monsoondock::settings {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::uint64_t KIB = 1024;
constexpr std::uint64_t MIB = KIB * KIB;
constexpr std::size_t MIN_SECRET_BYTES = 16;
constexpr std::size_t MAX_SECRET_BYTES = 4096;
constexpr std::size_t MAX_PLATFORM_ADDRESSES = 16;
constexpr std::size_t MAX_PEER_SEEDS = 16;


milliseconds read_time(
    pvt::table_reader& reader,
    std::string_view key,
    milliseconds default_value,
    milliseconds min,
    milliseconds max)
{
    return reader.require(
        pvt::field<milliseconds>{key, default_value, {min, max}, {}});
}


std::uint64_t read_count(
    pvt::table_reader& reader,
    std::string_view key,
    std::uint64_t default_value,
    std::uint64_t min,
    std::uint64_t max)
{
    return reader.require(
        pvt::field<std::uint64_t>{key, default_value, {min, max}, {}});
}


daemon_timeouts read_timeouts(pvt::table_reader& r)
{
    daemon_timeouts t;
    t.platform_ = read_time(r, "platform", 1s, 10ms, 1min);
    t.watch_ = read_time(r, "watch", 20s, 100ms, 5min);
    t.connect_ = read_time(r, "connect", 500ms, 10ms, 1min);
    t.header_ = read_time(r, "header", 5s, 100ms, 1min);
    t.body_ = read_time(r, "body", 30s, 100ms, 10min);
    t.idle_ = read_time(r, "idle", 1min, 1s, 1h);
    t.upstream_idle_ = read_time(r, "upstream_idle", 10s, 100ms, 10min);
    t.entry_host_ttl_ = read_time(r, "entry_host_ttl", 5s, 100ms, 1min);
    t.shutdown_ = read_time(r, "shutdown", 5min, 0ms, 1h);
    return t;
}


admission_sizes read_admission(pvt::table_reader& r)
{
    admission_sizes a;
    a.max_body_bytes_ = read_count(r, "max_body_bytes", 4 * MIB, KIB, 64 * MIB);
    a.max_header_bytes_ = read_count(r, "max_header_bytes", 16 * KIB, KIB, MIB);
    a.max_connections_ = read_count(r, "max_connections", 4096, 1, 100'000);
    return a;
}


daemon_config
read_config(const toml::table& table, const std::string& file, findings& faults)
{
    pvt::table_reader r(table, file, "", faults);
    daemon_config c;
    c.daemon_ = pvt::read_required<base::daemon_id>(r, "daemon");
    c.region_ = pvt::read_required<base::region_id>(r, "region");
    c.data_centre_ = pvt::read_required<base::data_centre_id>(r, "data_centre");
    c.caller_address_ = pvt::read_required<socket_address>(r, "caller_address");
    c.peer_address_ = pvt::read_required<socket_address>(r, "peer_address");
    c.platform_addresses_ = r.require(pvt::field<std::vector<socket_address>>{
        "platform_addresses", {}, {1, MAX_PLATFORM_ADDRESSES}, {}});
    c.peer_seeds_ = r.require(pvt::field<std::vector<socket_address>>{
        "peer_seeds", std::vector<socket_address>{}, {0, MAX_PEER_SEEDS}, {}});
    c.peer_secret_file_ =
        pvt::read_required<std::filesystem::path>(r, "peer_secret_file");
    c.traffic_threads_ = read_count(r, "traffic_threads", 2, 1, 256);
    c.admission_ = pvt::read_section<admission_sizes>(
        r, "admission", file, faults, read_admission);
    c.timeouts_ = pvt::read_section<daemon_timeouts>(
        r, "timeouts", file, faults, read_timeouts);
    r.finish();
    return c;
}


void check_addresses_differ(
    const daemon_config& c,
    const toml::table& table,
    const std::string& file,
    findings& faults)
{
    const toml::node* node = table.get("peer_address");
    if (node == nullptr || c.peer_address_.port_ == 0)
        return;
    if (c.peer_address_ == c.caller_address_)
        faults.push_back(
            {file,
             static_cast<std::uint32_t>(node->source().begin.line),
             "peer_address",
             "is the same as caller_address",
             "a port or IP address other than that of caller_address"});
}


std::optional<finding>
load_secret(daemon_config& c, const std::filesystem::path& config_file)
{
    const std::string allowed = "a readable file of " +
                                std::to_string(MIN_SECRET_BYTES) + " to " +
                                std::to_string(MAX_SECRET_BYTES) + " bytes";
    c.peer_secret_file_ = config_file.parent_path() / c.peer_secret_file_;
    const std::string name = c.peer_secret_file_.string();
    auto secret = pvt::read_text_file(c.peer_secret_file_);
    if (!secret)
        return finding{
            {}, 0, "peer_secret_file", name + " cannot be read", allowed};
    secret->erase(secret->find_last_not_of(" \t\r\n") + 1);
    if (secret->size() < MIN_SECRET_BYTES || secret->size() > MAX_SECRET_BYTES)
        return finding{
            {},
            0,
            "peer_secret_file",
            name + " holds " + std::to_string(secret->size()) + " bytes",
            allowed};
    c.peer_secret_ = std::move(*secret);
    return std::nullopt;
}


struct located_config
{
    daemon_config config_;
    findings faults_;
    std::uint32_t secret_line_ = 0;
};


located_config read_text(std::string_view text, const std::string& file)
{
    located_config result;
    checked<toml::table> parsed = pvt::parse_toml(text, file);
    if (auto* faults = std::get_if<findings>(&parsed)) {
        result.faults_ = std::move(*faults);
        return result;
    }
    const auto& table = std::get<toml::table>(parsed);
    result.config_ = read_config(table, file, result.faults_);
    check_addresses_differ(result.config_, table, file, result.faults_);
    if (const toml::node* node = table.get("peer_secret_file"))
        result.secret_line_ =
            static_cast<std::uint32_t>(node->source().begin.line);
    return result;
}


checked<daemon_config> to_checked(located_config result)
{
    pvt::sort_by_line(result.faults_);
    if (!result.faults_.empty())
        return std::move(result.faults_);
    return std::move(result.config_);
}

} // namespace

checked<daemon_config> load_daemon_config(const std::filesystem::path& path)
{
    const auto text = pvt::read_text_file(path);
    if (!text)
        return findings{
            {path.string(), 0, {}, "cannot be read", "a readable TOML file"}};
    located_config result = read_text(*text, path.string());
    if (!result.config_.peer_secret_file_.empty()) {
        if (auto fault = load_secret(result.config_, path)) {
            fault->file_ = path.string();
            fault->line_ = result.secret_line_;
            result.faults_.push_back(std::move(*fault));
        }
    }
    return to_checked(std::move(result));
}


checked<daemon_config>
parse_daemon_config(std::string_view text, std::string_view file)
{
    return to_checked(read_text(text, std::string(file)));
}

} // namespace monsoondock::settings
