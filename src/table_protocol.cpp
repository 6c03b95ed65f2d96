#include "table_protocol.hpp"

#include "json_text.hpp"
#include "result_code.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

Json::Value keys_to_json(std::vector<std::string> const &keys)
{
    Json::Value list(Json::arrayValue);
    std::ranges::for_each(keys, [&list](std::string const &key)
                          { list.append(key); });
    return list;
}

Json::Value read_to_json(table_call const &call)
{
    Json::Value json;
    if (call.prefix.empty())
    {
        json["keys"] = keys_to_json(call.keys);
        return json;
    }
    json["prefix"] = call.prefix;
    json["limit"] = call.limit;
    return json;
}

Json::Value condition_to_json(table_condition const &condition)
{
    Json::Value json;
    json["key"] = condition.key;
    json["version"] = Json::UInt64(condition.version);
    return json;
}

Json::Value put_to_json(table_put const &put)
{
    Json::Value json;
    json["key"] = put.key;
    json["value"] = put.value;
    return json;
}

Json::Value transaction_to_json(table_call const &call)
{
    Json::Value json;
    auto &conditions = json["conditions"] = Json::arrayValue;
    std::ranges::for_each(call.conditions, [&conditions](auto const &condition)
                          { conditions.append(condition_to_json(condition)); });
    auto &puts = json["puts"] = Json::arrayValue;
    std::ranges::for_each(call.puts, [&puts](auto const &put)
                          { puts.append(put_to_json(put)); });
    json["deletes"] = keys_to_json(call.deletes);
    return json;
}

table_row row_from_json(Json::Value const &json)
{
    return {json["key"].asString(), json["value"].asString(),
            json["version"].asUInt64()};
}

table_reply read_reply(table_call const &call, Json::Value const &json)
{
    table_reply reply;
    reply.operation = call.operation;
    reply.owner = call.owner;
    auto const outcome = json["outcome"].asString();
    if (outcome != "committed" && outcome != "conflict")
    {
        throw Json::RuntimeError("unknown outcome \"" + outcome.substr(0, 40) +
                                 "\"");
    }
    reply.outcome = outcome == "committed" ? table_outcome::committed
                                           : table_outcome::conflict;
    std::ranges::transform(json["rows"], std::back_inserter(reply.rows),
                           row_from_json);
    return reply;
}

} // namespace

std::string table_call_to_text(table_call const &call)
{
    return json_to_text(call.is_write() ? transaction_to_json(call)
                                        : read_to_json(call));
}

absl::StatusOr<table_reply> table_reply_from_text(table_call const &call,
                                                  std::string_view text)
{
    auto const json = json_from_text(text);
    if (!json.ok())
    {
        return json.status();
    }
    try
    {
        return read_reply(call, *json);
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::invalid_request, error.what());
    }
}

} // namespace agateledge
