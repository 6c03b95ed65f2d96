#include "log_proxied_request.hpp"

#include "world.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

/// Maximum number of buffered log entries of one request, enough for three
/// calls; further entries are dropped.
constexpr std::size_t max_buffered_entries = 16;

log_fields with_request_fields(world const &w,
                               proxy_request_state const &request,
                               log_fields fields)
{
    log_fields all{
        {"request", request.content->caller_attempt},
        {"route", request.route ? request.route->name : std::string()},
        {"age_ms", milliseconds_text(w.now - request.arrived_at)},
    };
    std::ranges::move(fields, std::back_inserter(all));
    return all;
}

} // namespace

std::string milliseconds_text(duration value)
{
    std::array<char, 32> text{};
    auto const size = std::snprintf(text.data(), text.size(), "%.1f",
                                    to_seconds(value) * 1e3);
    return {text.data(), static_cast<std::size_t>(size)};
}

void log_proxied_request(world &w, log_level level, std::string event,
                         log_fields fields)
{
    w.out.log_entries.push_back({level, std::move(event), std::move(fields)});
}

void buffer_request_log(world &w, proxy_request_state &request,
                        std::string event, log_fields fields)
{
    if (request.buffered_log.size() < max_buffered_entries)
    {
        request.buffered_log.push_back(
            {log_level::info, std::move(event),
             with_request_fields(w, request, std::move(fields))});
    }
}

void log_request_end(world &w, log_level level, proxy_request_state &request,
                     std::string event, log_fields fields,
                     bool with_buffered_log)
{
    if (with_buffered_log)
    {
        std::ranges::move(std::exchange(request.buffered_log, {}),
                          std::back_inserter(w.out.log_entries));
    }
    log_proxied_request(w, level, std::move(event),
                        with_request_fields(w, request, std::move(fields)));
}

} // namespace agateledge
