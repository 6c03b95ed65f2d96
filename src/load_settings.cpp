#include "load_settings.hpp"

#include "result_code.hpp"
#include "settings.hpp"
#include "settings_reader.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace agateledge
{

namespace
{

constexpr double max_rate = 1e6;
constexpr int max_count = 100000;

void read_listen(settings_reader &root, settings &out)
{
    auto const *table = root.table("listen");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "listen");
    reader.read_address("callers", out.caller_address);
    reader.read_address("operators", out.operator_address);
    reader.read_address("peers", out.peer_address);
    reader.report_unknown_keys();
}

void read_tls_listener(settings_reader &parent, char const *key,
                       tls_settings &out)
{
    auto const *table = parent.table(key);
    if (table == nullptr)
    {
        return;
    }
    auto reader = parent.subtable(*table, key);
    reader.read("certificate_file", out.certificate_file, true);
    reader.read("key_file", out.key_file, true);
    reader.report_unknown_keys();
}

void read_tls(settings_reader &root, settings &out)
{
    auto const *table = root.table("tls");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "tls");
    read_tls_listener(reader, "callers", out.caller_tls);
    read_tls_listener(reader, "operators", out.operator_tls);
    reader.report_unknown_keys();
}

void read_platform(settings_reader &root, settings &out)
{
    auto const *table = root.table("platform");
    if (table == nullptr)
    {
        root.report("platform",
                    "is missing; must be a table with the key `table`");
        return;
    }
    auto reader = root.subtable(*table, "platform");
    reader.read_address("table", out.table_address, true);
    reader.read_address("object_store", out.object_store_address);
    reader.read_address("weight_store", out.weight_store_address);
    reader.read_address("membership", out.membership_address);
    reader.report_unknown_keys();
}

void read_keys(settings_reader &root, settings &out)
{
    auto const *table = root.table("keys");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "keys");
    reader.read("request_file", out.request_key_file);
    reader.read("peer_file", out.peer_key_file);
    reader.report_unknown_keys();
}

void read_limits(settings_reader &root, listener_limits &out)
{
    constexpr std::int64_t max_bytes = std::int64_t{1} << 30;
    auto const *table = root.table("limits");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "limits");
    reader.read("max_body_bytes", out.max_body_bytes, 1024, max_bytes);
    reader.read("max_header_bytes", out.max_header_bytes, 1024, max_bytes);
    reader.read("max_connections", out.max_connections, 1, max_count);
    reader.read_milliseconds("request_timeout_ms", out.request_timeout);
    reader.read("max_buffered_bytes", out.max_buffered_bytes, 1024, max_bytes);
    reader.read_megabytes("memory_mb", out.memory.host_bytes);
    reader.report_unknown_keys();
}

void read_store(settings_reader &root, table_service_limits &out)
{
    auto const *table = root.table("store");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "store");
    reader.read("writes_per_second", out.writes_per_second, 1.0, max_rate);
    reader.read("reads_per_second", out.reads_per_second, 1.0, max_rate);
    reader.report_unknown_keys();
}

void read_policy(settings_reader &root, policy_settings &out)
{
    auto const *table = root.table("policy");
    if (table == nullptr)
    {
        return;
    }
    auto reader = root.subtable(*table, "policy");
    reader.read("role_change_weight", out.role_change_weight, 0.0, max_rate);
    reader.read("role_changes_per_hour", out.role_changes_per_hour, 0,
                max_count);
    reader.read_milliseconds("role_horizon_ms", out.role_horizon);
    reader.read("retry_share", out.retry_share, 0.0, 1.0);
    reader.read_milliseconds("drain_timeout_ms", out.drain_timeout);
    reader.report_unknown_keys();
}

std::string indexed_key(char const *key, std::size_t position)
{
    return std::string(key) + "[" + std::to_string(position) + "]";
}

/// Reads each table of the array `key` with `read` and appends it to `out`.
template <class Item, class Read>
void read_list(settings_reader &root, char const *key, std::vector<Item> &out,
               Read read)
{
    auto const tables = root.tables(key);
    for (std::size_t i = 0; i < tables.size(); ++i)
    {
        auto reader = root.subtable(*tables[i], indexed_key(key, i));
        Item item;
        read(reader, item);
        reader.report_unknown_keys();
        out.push_back(std::move(item));
    }
}

void read_peer(settings_reader &reader, peer_settings &out)
{
    reader.read("name", out.name, true);
    reader.read_address("address", out.address, true);
    reader.read("data_centre", out.data_centre, true);
}

void read_operator(settings_reader &reader, operator_settings &out)
{
    reader.read("name", out.name, true);
    reader.read_sha256("token_sha256", out.token_sha256);
}

void read_service(settings_reader &reader, service_definition &out)
{
    reader.read("name", out.name, true);
    reader.read("plain", out.plain);
    reader.read("model", out.model);
    if (out.plain == !out.model.empty())
    {
        reader.report("model", out.plain
                                   ? "must not be set for a plain service"
                                   : "must be set unless the service is plain");
    }
}

void read_class(settings_reader &reader, request_class &out)
{
    constexpr int max_priority = 100;
    reader.read("name", out.name, true);
    reader.read("service", out.service, true);
    reader.read("priority", out.priority, 0, max_priority);
    reader.read_milliseconds("first_token_ms", out.first_token_deadline);
    reader.read_milliseconds("token_interval_ms", out.token_interval_deadline);
    reader.read_milliseconds("finish_ms", out.finish_deadline);
    reader.read("weight", out.weight, 0.0, max_rate);
    reader.read("may_wait", out.may_wait);
    reader.read("expected_output_tokens", out.expected_output_tokens, 1,
                max_count);
    if (out.finish_deadline.count() > 0 &&
        out.first_token_deadline > out.finish_deadline)
    {
        reader.report("first_token_ms", "must not be longer than finish_ms");
    }
}

void read_engine_fields(settings_reader &reader, engine_definition &out)
{
    constexpr std::int64_t max_tokens = std::int64_t{1} << 40;
    reader.read("data_centre", out.data_centre, true);
    reader.read("service", out.service, true);
    reader.read("model", out.model, true);
    reader.read("model_version", out.model_version);
    std::string role(name_of(out.role));
    reader.read_choice("role", role, {"mixed", "prefill", "decode"});
    out.role = *parse_engine_role(role);
    reader.read("checks_fencing", out.checks_fencing);
    reader.read("kv_capacity_tokens", out.kv_capacity_tokens, 1, max_tokens);
}

void read_engine(settings_reader &reader, engine_definition &out)
{
    reader.read("name", out.name, true);
    reader.read_address("address", out.address, true);
    read_engine_fields(reader, out);
}

/// Engines that differ only in the number in their name and in their port.
struct numbered_group
{
    std::string prefix;
    std::string host;
    int first_port = 1;
    int count = 1;
};

numbered_group read_group(settings_reader &reader)
{
    constexpr int max_port = 65535;
    constexpr int max_members = 1000;
    numbered_group group;
    reader.read("prefix", group.prefix, true);
    reader.read("host", group.host, true);
    reader.read("first_port", group.first_port, 1, max_port);
    reader.read("count", group.count, 1, max_members);
    if (group.first_port + group.count - 1 > max_port)
    {
        reader.report("count", "the last port must be at most 65535");
    }
    return group;
}

/// Adds the members of a group: copies of `pattern`, each with its own name and
/// address.
template <class Item>
void expand_group(numbered_group const &group, Item const &pattern,
                  std::vector<Item> &out)
{
    for (int i = 0; i < group.count; ++i)
    {
        auto item = pattern;
        item.name = group.prefix + std::to_string(i + 1);
        item.address = group.host + ":" + std::to_string(group.first_port + i);
        out.push_back(std::move(item));
    }
}

void read_engine_groups(settings_reader &root,
                        std::vector<engine_definition> &out)
{
    auto const tables = root.tables("engine_group");
    for (std::size_t i = 0; i < tables.size(); ++i)
    {
        auto reader = root.subtable(*tables[i], indexed_key("engine_group", i));
        auto const group = read_group(reader);
        engine_definition pattern;
        read_engine_fields(reader, pattern);
        reader.report_unknown_keys();
        expand_group(group, pattern, out);
    }
}

void read_endpoint(settings_reader &reader, endpoint_definition &out)
{
    reader.read("name", out.name, true);
    reader.read_address("address", out.address, true);
    reader.read("data_centre", out.data_centre, true);
    reader.read("service", out.service, true);
}

void read_caller(settings_reader &reader, caller_definition &out)
{
    reader.read("name", out.name, true);
    reader.read("account", out.account, true);
    reader.read_sha256("token_sha256", out.token_sha256);
    reader.read("requests_per_second", out.requests_per_second, 0.0, max_rate);
    reader.read("burst", out.burst, 0.0, max_rate);
}

void read_configuration(settings_reader &root, configuration &out)
{
    read_policy(root, out.policy);
    read_list(root, "service", out.services, read_service);
    read_list(root, "class", out.classes, read_class);
    read_list(root, "engine", out.engines, read_engine);
    read_engine_groups(root, out.engines);
    read_list(root, "endpoint", out.endpoints, read_endpoint);
    read_list(root, "caller", out.callers, read_caller);
}

template <class Item>
void check_unique(settings_reader &root, char const *key,
                  std::vector<Item> const &items)
{
    std::set<std::string> names;
    for (auto const &item : items)
    {
        if (!item.name.empty() && !names.insert(item.name).second)
        {
            root.report(key, "duplicate name \"" + item.name + "\"");
        }
    }
}

template <class Item>
void check_services(settings_reader &root, char const *key,
                    std::vector<Item> const &items, configuration const &config)
{
    for (auto const &item : items)
    {
        auto const found = std::ranges::find(config.services, item.service,
                                             &service_definition::name);
        if (!item.service.empty() && found == config.services.end())
        {
            root.report(key, "\"" + item.name + "\" names the service \"" +
                                 item.service + "\", which does not exist");
        }
    }
}

void check_consistency(settings_reader &root, settings const &value)
{
    auto const &config = value.initial;
    check_unique(root, "service", config.services);
    check_unique(root, "engine", config.engines);
    check_unique(root, "endpoint", config.endpoints);
    check_unique(root, "caller", config.callers);
    check_services(root, "class", config.classes, config);
    check_services(root, "engine", config.engines, config);
    check_services(root, "endpoint", config.endpoints, config);
    std::set<std::string> const listeners{
        value.caller_address, value.operator_address, value.peer_address};
    if (listeners.size() != 3)
    {
        root.report("listen",
                    "callers, operators and peers need different addresses");
    }
}

void read_settings(settings_reader &root, settings &out)
{
    root.read("name", out.name, true);
    root.read("data_centre", out.data_centre, true);
    root.read_choice("log_level", out.log_level,
                     {"debug", "info", "warning", "error"});
    read_listen(root, out);
    read_tls(root, out);
    read_platform(root, out);
    read_keys(root, out);
    read_list(root, "peer", out.peers, read_peer);
    read_list(root, "operator", out.operators, read_operator);
    read_limits(root, out.limits);
    read_store(root, out.store);
    read_configuration(root, out.initial);
    root.report_unknown_keys();
    check_consistency(root, out);
}

} // namespace

absl::StatusOr<settings> parse_settings(std::string const &text,
                                        std::string const &file)
{
    settings out;
    auto const status = read_settings_text(text, file,
                                           [&out](settings_reader &root)
                                           { read_settings(root, out); });
    if (!status.ok())
    {
        return status;
    }
    return out;
}

absl::StatusOr<settings> load_settings(std::string const &file)
{
    auto const text = read_settings_file(file);
    return text.ok() ? parse_settings(*text, file) : text.status();
}

} // namespace agateledge
