#include "configuration_json.hpp"

#include "json_text.hpp"
#include "result_code.hpp"

#include <json/json.h>

#include <algorithm>
#include <iterator>

namespace agateledge
{

namespace
{

Json::Int64 to_json(duration value)
{
    return value.count();
}

duration duration_from(Json::Value const &value)
{
    return duration(value.asInt64());
}

Json::Value to_json(service_definition const &value)
{
    Json::Value out;
    out["name"] = value.name;
    out["plain"] = value.plain;
    out["model"] = value.model;
    return out;
}

service_definition service_from(Json::Value const &in)
{
    return {in["name"].asString(), in["plain"].asBool(),
            in["model"].asString()};
}

Json::Value to_json(request_class const &value)
{
    Json::Value out;
    out["name"] = value.name;
    out["service"] = value.service;
    out["priority"] = value.priority;
    out["first_token_us"] = to_json(value.first_token_deadline);
    out["token_interval_us"] = to_json(value.token_interval_deadline);
    out["finish_us"] = to_json(value.finish_deadline);
    out["weight"] = value.weight;
    out["may_wait"] = value.may_wait;
    out["expected_output_tokens"] = value.expected_output_tokens;
    return out;
}

request_class class_from(Json::Value const &in)
{
    request_class out;
    out.name = in["name"].asString();
    out.service = in["service"].asString();
    out.priority = in["priority"].asInt();
    out.first_token_deadline = duration_from(in["first_token_us"]);
    out.token_interval_deadline = duration_from(in["token_interval_us"]);
    out.finish_deadline = duration_from(in["finish_us"]);
    out.weight = in["weight"].asDouble();
    out.may_wait = in["may_wait"].asBool();
    out.expected_output_tokens = in["expected_output_tokens"].asInt();
    return out;
}

Json::Value to_json(engine_definition const &value)
{
    Json::Value out;
    out["name"] = value.name;
    out["address"] = value.address;
    out["data_centre"] = value.data_centre;
    out["service"] = value.service;
    out["model"] = value.model;
    out["model_version"] = value.model_version;
    out["role"] = std::string(name_of(value.role));
    out["checks_fencing"] = value.checks_fencing;
    out["draining"] = value.draining;
    out["withdrawn"] = value.withdrawn;
    out["kv_capacity_tokens"] = Json::Int64(value.kv_capacity_tokens);
    return out;
}

engine_definition engine_from(Json::Value const &in)
{
    engine_definition out;
    out.name = in["name"].asString();
    out.address = in["address"].asString();
    out.data_centre = in["data_centre"].asString();
    out.service = in["service"].asString();
    out.model = in["model"].asString();
    out.model_version = in["model_version"].asString();
    out.role =
        parse_engine_role(in["role"].asString()).value_or(engine_role::mixed);
    out.checks_fencing = in["checks_fencing"].asBool();
    out.draining = in["draining"].asBool();
    out.withdrawn = in["withdrawn"].asBool();
    out.kv_capacity_tokens = in["kv_capacity_tokens"].asInt64();
    return out;
}

Json::Value to_json(endpoint_definition const &value)
{
    Json::Value out;
    out["name"] = value.name;
    out["address"] = value.address;
    out["data_centre"] = value.data_centre;
    out["service"] = value.service;
    out["draining"] = value.draining;
    return out;
}

endpoint_definition endpoint_from(Json::Value const &in)
{
    return {in["name"].asString(), in["address"].asString(),
            in["data_centre"].asString(), in["service"].asString(),
            in["draining"].asBool()};
}

Json::Value to_json(caller_definition const &value)
{
    Json::Value out;
    out["name"] = value.name;
    out["account"] = value.account;
    out["token_sha256"] = value.token_sha256;
    out["requests_per_second"] = value.requests_per_second;
    out["burst"] = value.burst;
    return out;
}

caller_definition caller_from(Json::Value const &in)
{
    return {in["name"].asString(), in["account"].asString(),
            in["token_sha256"].asString(), in["requests_per_second"].asDouble(),
            in["burst"].asDouble()};
}

Json::Value to_json(policy_settings const &value)
{
    Json::Value out;
    out["role_change_weight"] = value.role_change_weight;
    out["role_changes_per_hour"] = value.role_changes_per_hour;
    out["role_horizon_us"] = to_json(value.role_horizon);
    out["retry_share"] = value.retry_share;
    out["drain_timeout_us"] = to_json(value.drain_timeout);
    return out;
}

policy_settings policy_from(Json::Value const &in)
{
    policy_settings out;
    out.role_change_weight = in["role_change_weight"].asDouble();
    out.role_changes_per_hour = in["role_changes_per_hour"].asInt();
    out.role_horizon = duration_from(in["role_horizon_us"]);
    out.retry_share = in["retry_share"].asDouble();
    out.drain_timeout = duration_from(in["drain_timeout_us"]);
    return out;
}

template <class Item>
Json::Value list_to_json(std::vector<Item> const &items)
{
    Json::Value out(Json::arrayValue);
    std::ranges::for_each(items, [&out](Item const &item)
                          { out.append(to_json(item)); });
    return out;
}

template <class Item>
std::vector<Item> list_from(Json::Value const &in,
                            Item (*read)(Json::Value const &))
{
    std::vector<Item> out;
    std::transform(in.begin(), in.end(), std::back_inserter(out), read);
    return out;
}

configuration read_configuration(Json::Value const &in)
{
    configuration out;
    out.revision = revision_number(in["revision"].asUInt64());
    out.author = in["author"].asString();
    out.changed_at = in["changed_at"].asInt64();
    out.summary = in["summary"].asString();
    out.services = list_from(in["services"], service_from);
    out.classes = list_from(in["classes"], class_from);
    out.engines = list_from(in["engines"], engine_from);
    out.endpoints = list_from(in["endpoints"], endpoint_from);
    out.callers = list_from(in["callers"], caller_from);
    out.policy = policy_from(in["policy"]);
    return out;
}

} // namespace

std::string configuration_to_json(configuration const &value)
{
    Json::Value out;
    out["revision"] = Json::UInt64(value.revision.value());
    out["author"] = value.author;
    out["changed_at"] = Json::Int64(value.changed_at);
    out["summary"] = value.summary;
    out["services"] = list_to_json(value.services);
    out["classes"] = list_to_json(value.classes);
    out["engines"] = list_to_json(value.engines);
    out["endpoints"] = list_to_json(value.endpoints);
    out["callers"] = list_to_json(value.callers);
    out["policy"] = to_json(value.policy);
    return json_to_text(out);
}

absl::StatusOr<configuration> configuration_from_json(std::string_view text)
{
    auto const document = json_from_text(text);
    if (!document.ok())
    {
        return document.status();
    }
    try
    {
        return read_configuration(*document);
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::settings_invalid,
                           std::string("configuration document: ") +
                               error.what());
    }
}

} // namespace agateledge
