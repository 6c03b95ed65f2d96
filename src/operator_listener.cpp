#include "operator_listener.hpp"

#include "caller_directory.hpp"
#include "daemon_loop.hpp"
#include "http_exchange.hpp"
#include "json_log.hpp"
#include "json_text.hpp"
#include "parse_statement.hpp"
#include "world.hpp"

#include <algorithm>
#include <ctime>
#include <sstream>
#include <string_view>
#include <utility>

namespace agateledge
{

namespace
{

/// Maximum number of statements that wait for the table service.
constexpr std::size_t max_pending_statements = 256;

/// A JSON escape takes up to 6 bytes per byte of the statement.
constexpr std::size_t max_body_bytes = 6 * max_statement_bytes + 1024;

void reply_code(http_exchange &request, result_code code,
                std::string const &message)
{
    Json::Value out;
    out["code"] = static_cast<int>(code);
    out["name"] = std::string(name_of(code));
    out["message"] = message;
    request.reply(http_status(code), json_to_text(out));
}

/// Compares in a time that does not depend on where the digests differ.
bool equal_digests(std::string const &left, std::string const &right)
{
    if (left.size() != right.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        difference |= static_cast<unsigned char>(left[i]) ^
                      static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

/// @return the string member `name` of the JSON object `body`;
///         `body_too_large` or `invalid_request` otherwise
absl::StatusOr<std::string> string_member(std::string const &body,
                                          char const *name)
{
    if (body.size() > max_body_bytes)
    {
        return make_status(result_code::body_too_large, "the body is too long");
    }
    auto const document = json_from_text(body);
    if (!document.ok() || !document->isObject() ||
        !(*document)[name].isString())
    {
        return make_status(result_code::invalid_request,
                           std::string("the body must be a JSON object with "
                                       "the string \"") +
                               name + "\"");
    }
    return (*document)[name].asString();
}

void write_metric(std::ostream &out, char const *name, char const *type,
                  double value)
{
    out << "# TYPE agateledge_" << name << " " << type << "\nagateledge_"
        << name << " " << value << "\n";
}

void write_totals(std::ostream &out, counters const &totals)
{
    auto const write = [&out](char const *name, std::uint64_t value)
    { write_metric(out, name, "counter", static_cast<double>(value)); };
    write("requests_total", totals.requests);
    write("answered_total", totals.answered);
    write("answered_in_time_total", totals.answered_in_time);
    write("refused_not_run_total", totals.refused_not_run);
    write("outcome_unknown_total", totals.outcome_unknown);
    write("failed_total", totals.failed);
    write("cancelled_total", totals.cancelled);
    write("retries_total", totals.retries);
    write("events_dropped_total", totals.events_dropped);
    write("orders_sent_total", totals.orders_sent);
    write("role_changes_total", totals.role_changes);
}

} // namespace

operator_listener::operator_listener(world const &state, daemon_loop &loop,
                                     std::vector<operator_settings> operators)
    : state_(state), loop_(loop), operators_(std::move(operators))
{
    server_.add("/v1/statements",
                [this](exchange const &request) { serve_statement(request); });
    server_.add("/v1/log-level",
                [this](exchange const &request) { serve_log_level(request); });
    server_.add("/healthz",
                [this](exchange const &request) { serve_health(request); });
    server_.add("/metrics",
                [this](exchange const &request) { serve_metrics(request); });
}

absl::Status operator_listener::start(std::string const &address)
{
    return server_.listen(address);
}

std::string operator_listener::authenticate(http_exchange const &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    auto const header = request.header("Authorization");
    if (!header.starts_with(scheme))
    {
        return "";
    }
    auto const digest = sha256_of(header.substr(scheme.size()));
    auto const found = std::ranges::find_if(
        operators_, [&digest](operator_settings const &item)
        { return equal_digests(item.token_sha256, digest); });
    return found == operators_.end() ? "" : found->name;
}

void operator_listener::serve_statement(exchange const &request)
{
    auto const operator_name = authenticate(*request);
    if (operator_name.empty())
    {
        reply_code(*request, result_code::unauthenticated,
                   "the bearer token is missing or unknown");
        return;
    }
    auto const text = string_member(request->body(), "text");
    if (request->method() != "POST" || !text.ok())
    {
        auto const code =
            text.ok() ? result_code::invalid_request : code_of(text.status());
        reply_code(*request, code,
                   text.ok() ? "method not supported; use POST"
                             : std::string(text.status().message()));
        return;
    }
    if (pending_.size() >= max_pending_statements)
    {
        reply_code(*request, result_code::queue_full,
                   "too many statements are waiting for the table service");
        return;
    }
    operator_call_number const call(++last_call_);
    request->defer();
    pending_.emplace(call,
                     pending_statement{request, daemon_loop::clock_now()});
    request->on_closed([this, call] { pending_.erase(call); });
    loop_.input().operator_requests.push_back(
        {call, operator_name, *text, std::time(nullptr)});
}

void operator_listener::reply(operator_reply const &answer)
{
    auto const found = pending_.find(answer.call);
    if (found == pending_.end())
    {
        return;
    }
    auto const call = found->second;
    pending_.erase(found);
    statement_times_.add(daemon_loop::clock_now() - call.received_at);
    if (answer.code == result_code::ok)
    {
        call.request->reply(http_status(answer.code), answer.text);
        return;
    }
    reply_code(*call.request, answer.code, answer.text);
}

void operator_listener::serve_log_level(exchange const &request)
{
    if (authenticate(*request).empty())
    {
        reply_code(*request, result_code::unauthenticated,
                   "the bearer token is missing or unknown");
        return;
    }
    auto const level = string_member(request->body(), "level");
    auto const status = level.ok() ? set_log_level(*level) : level.status();
    reply_code(*request, code_of(status),
               status.ok() ? "log level set" : std::string(status.message()));
}

void operator_listener::serve_health(exchange const &request)
{
    if (state_.draining)
    {
        reply_code(*request, result_code::daemon_draining,
                   "the daemon is stopping");
        return;
    }
    reply_code(*request, result_code::ok, "ready");
}

void operator_listener::serve_metrics(exchange const &request)
{
    request->reply(200, metrics_text(state_, statement_times_),
                   "text/plain; version=0.0.4");
}

std::string metrics_text(world const &w,
                         latency_quantiles const &statement_times)
{
    std::ostringstream out;
    write_totals(out, w.totals);
    write_metric(out, "open_requests", "gauge",
                 static_cast<double>(w.requests.size()));
    write_metric(out, "configuration_revision", "gauge",
                 static_cast<double>(w.config.revision.value()));
    write_metric(out, "live_daemons", "gauge", w.peers.live_daemons);
    write_metric(out, "draining", "gauge", w.draining ? 1 : 0);
    out << "# TYPE agateledge_statement_seconds summary\n";
    for (std::size_t i = 0; i < latency_quantiles::levels.size(); ++i)
    {
        out << "agateledge_statement_seconds{quantile=\""
            << latency_quantiles::levels.at(i) << "\"} "
            << statement_times.quantile(i) << "\n";
    }
    out << "agateledge_statement_seconds_sum " << statement_times.sum()
        << "\nagateledge_statement_seconds_count " << statement_times.count()
        << "\n";
    return out.str();
}

} // namespace agateledge
