#include "standin_service_server.hpp"

#include "http_exchange.hpp"
#include "json_text.hpp"

#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

struct delayed_answer
{
    std::shared_ptr<http_exchange> request;
    standin_response answer;
};

gboolean send_answer(gpointer data)
{
    auto const &delayed = *static_cast<delayed_answer *>(data);
    delayed.request->reply(delayed.answer.http_status, delayed.answer.body);
    return G_SOURCE_REMOVE;
}

void delete_answer(gpointer data)
{
    delete static_cast<delayed_answer *>(data);
}

} // namespace

standin_service_server::standin_service_server(standin_service &model,
                                               duration latency)
    : model_(model), latency_(latency)
{
    server_.add("/", [this](std::shared_ptr<http_exchange> const &request)
                { serve(request); });
    server_.add("/effects",
                [this](std::shared_ptr<http_exchange> const &request)
                { list_effects(request); });
}

absl::Status standin_service_server::listen(std::string const &address)
{
    return server_.listen(address);
}

void standin_service_server::serve(
    std::shared_ptr<http_exchange> const &request)
{
    auto answer = model_.call(
        request->method(), request->header("Idempotency-Key"), request->body());
    request->defer();
    auto const delay = std::chrono::duration_cast<milliseconds>(latency_);
    g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(delay.count()), send_answer,
        new delayed_answer{request, std::move(answer)}, delete_answer);
}

void standin_service_server::list_effects(
    std::shared_ptr<http_exchange> const &request) const
{
    Json::Value out(Json::objectValue);
    for (auto const &[key, count] : model_.effect_counts())
    {
        out[key] = count;
    }
    request->reply(200, json_to_text(out));
}

} // namespace agateledge
