#include "read_values.hpp"
#include "text_file.hpp"

#include <monsoondock/settings/entry_config.hpp>


namespace monsoondock::settings {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr std::size_t MAX_SEEDS = 16;


void read_addresses(entry_config& c, pvt::table_reader& r)
{
    c.caller_address_ = pvt::read_required<socket_address>(r, "caller_address");
    c.ready_address_ = pvt::read_required<socket_address>(r, "ready_address");
    c.directory_address_ =
        pvt::read_required<socket_address>(r, "directory_address");
    c.peer_address_ = pvt::read_required<socket_address>(r, "peer_address");
    c.metrics_address_ =
        pvt::read_required<socket_address>(r, "metrics_address");
    c.platform_address_ =
        pvt::read_required<socket_address>(r, "platform_address");
    c.seed_hosts_ = pvt::read_optional<std::vector<socket_address>>(
        r, "seed_hosts", {}, {0, MAX_SEEDS});
}


retry_settings read_retries(pvt::table_reader& r)
{
    retry_settings retries;
    retries.ratio_ = pvt::read_optional<double>(r, "ratio", 0.1, {0.0, 1.0});
    retries.slack_ = pvt::read_optional<double>(r, "slack", 20, {0, 100'000});
    retries.window_ =
        pvt::read_optional<milliseconds>(r, "window", 10s, {1s, 10min});
    return retries;
}


entry_config
read_config(const toml::table& table, const std::string& file, findings& faults)
{
    pvt::table_reader r(table, file, "", faults);
    entry_config c;
    c.daemon_ = pvt::read_required<base::daemon_id>(r, "daemon");
    c.region_ = pvt::read_required<base::region_id>(r, "region");
    c.data_centre_ = pvt::read_required<base::data_centre_id>(r, "data_centre");
    read_addresses(c, r);
    c.processor_cores_ =
        pvt::read_optional<double>(r, "processor_cores", 1, {0.0, 65.0});
    c.first_start_ = pvt::read_optional<bool>(r, "first_start", false, {});
    c.max_connections_ = pvt::read_optional<std::uint64_t>(
        r, "max_connections", 1024, {1, 100'000});
    c.grace_ = pvt::read_optional<milliseconds>(r, "grace", 8s, {1s, 1h});
    c.drain_time_ =
        pvt::read_optional<milliseconds>(r, "drain_time", 2s, {0s, 1h});
    c.directory_ttl_ =
        pvt::read_optional<milliseconds>(r, "directory_ttl", 2s, {100ms, 1min});
    c.evacuations_ = pvt::read_optional<bool>(r, "evacuations", false, {});
    c.admission_ = pvt::read_optional<admission_rule>(
        r, "admission", admission_rule::queue, {});
    c.learned_capacity_ =
        pvt::read_optional<bool>(r, "learned_capacity", false, {});
    c.retries_ = pvt::read_section<retry_settings>(
        r, "retries", file, faults, read_retries);
    r.finish();
    return c;
}

} // namespace

checked<entry_config> load_entry_config(const std::filesystem::path& path)
{
    const auto text = pvt::read_text_file(path);
    if (!text)
        return findings{
            {path.string(), 0, {}, "cannot be read", "a readable TOML file"}};
    return parse_entry_config(*text, path.string());
}


checked<entry_config>
parse_entry_config(std::string_view text, std::string_view file)
{
    checked<toml::table> parsed = pvt::parse_toml(text, file);
    if (auto* faults = std::get_if<findings>(&parsed))
        return std::move(*faults);
    findings faults;
    entry_config c =
        read_config(std::get<toml::table>(parsed), std::string(file), faults);
    pvt::sort_by_line(faults);
    if (!faults.empty())
        return faults;
    return c;
}

} // namespace monsoondock::settings
