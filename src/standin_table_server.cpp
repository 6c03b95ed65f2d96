#include "standin_table_server.hpp"

#include "http_exchange.hpp"
#include "json_text.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

table_call parse_call(Json::Value const &body)
{
    table_call call;
    for (auto const &key : body["keys"])
    {
        call.keys.push_back(key.asString());
    }
    call.prefix = body["prefix"].asString();
    call.limit = body.get("limit", call.limit).asInt();
    for (auto const &condition : body["conditions"])
    {
        call.conditions.push_back(
            {condition["key"].asString(), condition["version"].asUInt64()});
    }
    for (auto const &put : body["puts"])
    {
        call.puts.push_back({put["key"].asString(), put["value"].asString()});
    }
    for (auto const &key : body["deletes"])
    {
        call.deletes.push_back(key.asString());
    }
    return call;
}

std::string reply_to_json(table_reply const &reply)
{
    Json::Value rows(Json::arrayValue);
    for (auto const &row : reply.rows)
    {
        Json::Value item;
        item["key"] = row.key;
        item["value"] = row.value;
        item["version"] = Json::UInt64(row.version);
        rows.append(item);
    }
    Json::Value out;
    out["outcome"] =
        reply.outcome == table_outcome::committed ? "committed" : "conflict";
    out["rows"] = rows;
    return json_to_text(out);
}

} // namespace

standin_table_server::standin_table_server(std::uint64_t seed) : random_(seed)
{
    server_.add("/v1", [this](exchange const &request) { serve(request); });
    server_.add("/faults",
                [this](exchange const &request) { set_faults(request); });
}

absl::Status standin_table_server::listen(std::string const &address)
{
    return server_.listen(address);
}

void standin_table_server::serve(exchange const &request)
{
    if (outage_)
    {
        request->reply(503, R"({"error":"outage"})");
        return;
    }
    auto const body = json_from_text(request->body());
    if (!body.ok() || !body->isObject())
    {
        request->reply(400, R"({"error":"body is not a JSON object"})");
        return;
    }
    auto const call = parse_call(*body);
    auto const reply = model_.apply(call);
    if (call.is_write() && random_.uniform() < lost_answers_)
    {
        request->reply(504, R"({"error":"answer lost"})");
        return;
    }
    request->reply(200, reply_to_json(reply));
}

void standin_table_server::set_faults(exchange const &request)
{
    auto const body = json_from_text(request->body());
    if (body.ok() && body->isObject())
    {
        outage_ = (*body)["outage"].asBool();
        lost_answers_ = (*body)["lost_answers"].asDouble();
    }
    request->reply(body.ok() ? 200 : 400, "{}");
}

} // namespace agateledge
