#include "load_client.hpp"

#include "daemon_loop.hpp"
#include "json_log.hpp"
#include "json_text.hpp"
#include "sse_reader.hpp"
#include "standin_answer.hpp"

#include <glib.h>

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::size_t bytes_per_token = 4;
constexpr int long_prompt_tokens = 3000;
constexpr int medium_prompt_tokens = 800;
constexpr int short_prompt_tokens = 120;
/// Number of distinct documents at the start of prompts. Prompts share them, so
/// that prefix caches have hits.
constexpr std::uint64_t document_count = 12;
/// One in this many bookings repeats the idempotency key of the last new one.
constexpr std::uint64_t bookings_per_repeat = 5;

int prompt_tokens_of(request_class const &kind)
{
    if (kind.may_wait)
    {
        return long_prompt_tokens;
    }
    return kind.first_token_deadline > seconds(1) ? medium_prompt_tokens
                                                  : short_prompt_tokens;
}

std::string make_prompt(request_class const &kind, std::uint64_t document,
                        std::uint64_t question, int output_tokens)
{
    std::string const phrase =
        "document " + std::to_string(document) + " of " + kind.name + "; ";
    auto const length =
        bytes_per_token * static_cast<std::size_t>(prompt_tokens_of(kind));
    std::string prompt;
    while (prompt.size() < length)
    {
        prompt += phrase;
    }
    return prompt + "question " + std::to_string(question) +
           " len=" + std::to_string(output_tokens) + " ";
}

} // namespace

struct load_client::open_request
{
    request_class kind;
    bool plain = false;
    bool booking = false;
    instant sent_at{};
    std::uint64_t seed = 0;
    int output_tokens = 0;
    int status = 0;
    bool first_token_received = false;
    bool done_received = false;
    duration first_token_time{};
    std::string text;
    std::string body;
    sse_reader reader;
};

namespace
{

constexpr std::size_t max_logged_bytes = 200;

} // namespace

void load_client::log_failure(open_request const &request, char const *event)
{
    auto const &shown = request.body.empty() ? request.text : request.body;
    write_log_line("load", {log_level::warning,
                            event,
                            {{"class", request.kind.name},
                             {"status", std::to_string(request.status)},
                             {"seed", std::to_string(request.seed)},
                             {"tokens", std::to_string(request.output_tokens)},
                             {"answer", shown.substr(0, max_logged_bytes)}}});
}

load_client::load_client(configuration const &config,
                         std::vector<std::string> daemons, std::string token,
                         std::uint64_t seed)
    : config_(config), daemons_(std::move(daemons)), token_(std::move(token)),
      random_(seed)
{
}

load_client::~load_client()
{
    if (timer_ != 0)
    {
        g_source_remove(timer_);
    }
}

void load_client::start(int requests, double per_second,
                        std::function<void()> on_done)
{
    remaining_requests_ = requests;
    on_done_ = std::move(on_done);
    auto const interval = std::max(1.0, 1000.0 / per_second);
    timer_ = g_timeout_add(
        static_cast<guint>(interval),
        [](gpointer self) -> gboolean
        {
            auto *client = static_cast<load_client *>(self);
            client->send_next();
            if (client->remaining_requests_ > 0)
            {
                return G_SOURCE_CONTINUE;
            }
            client->timer_ = 0;
            return G_SOURCE_REMOVE;
        },
        this);
}

void load_client::send_next()
{
    --remaining_requests_;
    ++totals_.requests;
    auto request = std::make_shared<open_request>();
    request->kind = config_.classes[random_.below(config_.classes.size())];
    auto const service = std::ranges::find(
        config_.services, request->kind.service, &service_definition::name);
    request->plain = service->plain;
    request->seed = random_();
    request->sent_at = daemon_loop::clock_now();
    auto message = request->plain ? make_service_request(*request)
                                  : make_model_request(*request);
    message.address = daemons_[random_.below(daemons_.size())];
    message.headers.emplace_back("Authorization", "Bearer " + token_);
    message.headers.emplace_back("Agateledge-Class", request->kind.name);
    http_call_handlers handlers;
    handlers.on_head = [request](int status, header_list const &)
    { request->status = status; };
    handlers.on_bytes = [this, request](std::string_view bytes)
    { consume_bytes(*request, bytes); };
    handlers.on_end = [this, request](http_outcome outcome)
    { finish(*request, outcome); };
    client_.open(message, std::move(handlers));
}

http_request load_client::make_model_request(open_request &request)
{
    auto const service = std::ranges::find(
        config_.services, request.kind.service, &service_definition::name);
    auto const max_output_tokens =
        static_cast<std::uint64_t>(request.kind.expected_output_tokens);
    request.output_tokens =
        1 + static_cast<int>(random_.below(max_output_tokens));
    Json::Value message;
    message["role"] = "user";
    message["content"] =
        make_prompt(request.kind, random_.below(document_count), request.seed,
                    request.output_tokens);
    Json::Value body;
    body["model"] = service->model;
    body["stream"] = true;
    body["max_tokens"] = request.output_tokens;
    // Many JSON implementations use doubles, so the seed is kept below 2^53.
    request.seed >>= 11U;
    body["seed"] = Json::UInt64(request.seed);
    body["messages"].append(message);
    http_request out;
    out.method = "POST";
    out.path = "/v1/chat/completions";
    out.body = std::make_shared<std::string const>(json_to_text(body));
    return out;
}

std::string load_client::booking_key()
{
    bool const repeat =
        !last_booking_key_.empty() && random_.below(bookings_per_repeat) == 0;
    if (!repeat)
    {
        last_booking_key_ = "booking-" + std::to_string(random_());
    }
    return last_booking_key_;
}

http_request load_client::make_service_request(open_request &request)
{
    http_request out;
    out.path = "/v1/services/" + request.kind.service + "/bookings";
    request.booking = request.kind.name.find("status") == std::string::npos;
    if (!request.booking)
    {
        return out;
    }
    out.method = "POST";
    out.headers.emplace_back("Idempotency-Key", booking_key());
    out.body = std::make_shared<std::string const>(R"({"stand":12})");
    return out;
}

void load_client::consume_bytes(open_request &request, std::string_view bytes)
{
    if (request.plain || request.status != 200)
    {
        request.body.append(bytes);
        return;
    }
    request.reader.read(
        bytes,
        [&request](std::string_view data)
        {
            if (data == "[DONE]")
            {
                request.done_received = true;
                return true;
            }
            auto const event = json_from_text(data);
            if (event.ok() && event->isObject())
            {
                request.text +=
                    (*event)["choices"][0]["delta"]["content"].asString();
            }
            if (!request.first_token_received && !request.text.empty())
            {
                request.first_token_received = true;
                request.first_token_time =
                    daemon_loop::clock_now() - request.sent_at;
            }
            return true;
        });
}

void load_client::finish(open_request &request, http_outcome outcome)
{
    count(request, outcome);
    if (totals_.ended() == totals_.requests && remaining_requests_ <= 0 &&
        on_done_)
    {
        std::exchange(on_done_, nullptr)();
    }
}

void load_client::count(open_request const &request, http_outcome outcome)
{
    bool const ok = outcome == http_outcome::answered &&
                    request.status >= 200 && request.status < 300;
    if (!ok)
    {
        count_refusal(request);
        return;
    }
    bool const complete =
        request.plain ||
        (request.done_received &&
         request.text == standin_answer(request.seed, request.output_tokens));
    if (!complete)
    {
        log_failure(request, "wrong_answer");
        ++totals_.failed;
        return;
    }
    ++totals_.answered;
    auto const elapsed = daemon_loop::clock_now() - request.sent_at;
    auto const &kind = request.kind;
    bool const in_time =
        elapsed <= kind.finish_deadline &&
        (kind.first_token_deadline.count() == 0 ||
         request.first_token_time <= kind.first_token_deadline);
    totals_.answered_in_time += in_time ? 1 : 0;
}

void load_client::count_refusal(open_request const &request)
{
    auto const body = json_from_text(request.body);
    bool const readable =
        body.ok() && body->isObject() && (*body)["error"].isObject();
    if (readable && (*body)["error"]["not_run"].asBool())
    {
        ++totals_.not_run;
        return;
    }
    if (request.booking)
    {
        ++totals_.unknown;
        return;
    }
    log_failure(request, "failed_request");
    ++totals_.failed;
}

} // namespace agateledge
