#include "scripted_deployment.hpp"

#include "internal_assert.hpp"
#include "json_text.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

settings make_settings(scripted_deployment const &deployment)
{
    settings config;
    config.name = "daemon-1";
    config.data_centre = "rennes-a";
    config.caller_address = "127.0.0.1:0";
    config.table_address = deployment.table->address();
    auto &initial = config.initial;
    initial.revision = revision_number(1);
    initial.services = {{"assistant", false, "manual"}, {"desk", true, ""}};
    request_class hint;
    hint.name = "form-hint";
    hint.service = "assistant";
    hint.finish_deadline = seconds(30);
    request_class booking;
    booking.name = "booking";
    booking.service = "desk";
    booking.finish_deadline = seconds(5);
    initial.classes = {hint, booking};
    engine_definition engine;
    engine.name = "engine-1";
    engine.address = deployment.engine->address();
    engine.data_centre = "rennes-a";
    engine.service = "assistant";
    engine.model = "manual";
    initial.engines = {engine};
    initial.endpoints = {
        {"desk-1", deployment.service->address(), "rennes-a", "desk", false}};
    initial.callers = {{"stand-12", "kerbrat", sha256_of("stand-token"), 0, 0}};
    return config;
}

void generate_three_tokens(SoupServerMessage *message)
{
    std::string const events =
        "data: {\"kind\":\"chunk\",\"offset\":0,\"tokens\":1,\"text\":\"t0 "
        "\"}\n\n"
        "data: {\"kind\":\"chunk\",\"offset\":1,\"tokens\":2,\"text\":\"t1 t2 "
        "\"}\n\n"
        "data: {\"kind\":\"finished\",\"offset\":3}\n\n";
    scripted_http_server::answer(message, 200, events);
}

Json::Value row_to_json(table_row const &row)
{
    Json::Value json;
    json["key"] = row.key;
    json["value"] = row.value;
    json["version"] = Json::UInt64(row.version);
    return json;
}

table_call call_from_json(Json::Value const &json)
{
    table_call call;
    for (auto const &key : json["keys"])
    {
        call.keys.push_back(key.asString());
    }
    for (auto const &item : json["conditions"])
    {
        call.conditions.push_back(
            {item["key"].asString(), item["version"].asUInt64()});
    }
    for (auto const &item : json["puts"])
    {
        call.puts.push_back({item["key"].asString(), item["value"].asString()});
    }
    return call;
}

void answer_table(standin_table &rows, SoupServerMessage *message,
                  std::string const &body)
{
    auto const reply = rows.apply(call_from_json(*json_from_text(body)));
    Json::Value json;
    json["outcome"] =
        reply.outcome == table_outcome::committed ? "committed" : "conflict";
    json["rows"] = Json::arrayValue;
    std::ranges::for_each(reply.rows, [&json](table_row const &row)
                          { json["rows"].append(row_to_json(row)); });
    scripted_http_server::answer(message, 200, json_to_text(json));
}

} // namespace

scripted_deployment::scripted_deployment(
    std::function<void(settings &)> const &adjust)
{
    on_generate = [](SoupServerMessage *message, std::string const &,
                     std::string const &) { generate_three_tokens(message); };
    on_service_request =
        [](SoupServerMessage *message, std::string const &, std::string const &)
    { scripted_http_server::answer(message, 200, "{\"seat\":12}"); };
    engine = std::make_unique<scripted_http_server>(
        [this](SoupServerMessage *message, std::string const &path,
               std::string const &body)
        {
            ++request_counts[path];
            if (path == "/v1/generate")
            {
                on_generate(message, path, body);
                return;
            }
            scripted_http_server::answer(message, 404, "{}");
        });
    service = std::make_unique<scripted_http_server>(
        [this](SoupServerMessage *message, std::string const &path,
               std::string const &body)
        {
            ++request_counts[path];
            on_service_request(message, path, body);
        });
    table = std::make_unique<scripted_http_server>(
        [this](SoupServerMessage *message, std::string const &,
               std::string const &body) { answer_table(rows, message, body); });
    auto config = make_settings(*this);
    if (adjust)
    {
        adjust(config);
    }
    daemon = std::make_unique<daemon_process>(config, incarnation_number(1), 7);
    auto const status = daemon->start();
    internal_assert(status.ok(), status.ToString());
}

std::string scripted_deployment::call(std::string_view method,
                                      std::string_view path,
                                      std::string_view headers,
                                      std::string_view body,
                                      std::string_view until)
{
    raw_client client(port());
    std::string all(caller_headers);
    all += headers;
    client.send(make_http_request(method, path, all, body));
    client.read_until(until);
    return client.received;
}

} // namespace agateledge
