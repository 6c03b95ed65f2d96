#include "log_relay.hpp"

#include "world.hpp"

#include <array>
#include <cstdio>
#include <iterator>

namespace agateledge
{

std::string milliseconds_text(duration value)
{
    std::array<char, 32> text{};
    auto const size = std::snprintf(text.data(), text.size(), "%.1f",
                                    to_seconds(value) * 1e3);
    return {text.data(), static_cast<std::size_t>(size)};
}

void log_relay(world &w, log_level level, std::string event, log_fields fields)
{
    w.out.log_entries.push_back({level, std::move(event), std::move(fields)});
}

void log_request(world &w, log_level level, relay_state_entry const &request,
                 std::string event, log_fields fields)
{
    log_fields all{
        {"request", request.content->caller_attempt},
        {"route", request.route ? request.route->name : std::string()},
        {"age_ms", milliseconds_text(w.now - request.arrived_at)},
    };
    std::ranges::move(fields, std::back_inserter(all));
    log_relay(w, level, std::move(event), std::move(all));
}

} // namespace agateledge
