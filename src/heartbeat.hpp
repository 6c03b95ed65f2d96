#ifndef AGATELEDGE_HEARTBEAT_HPP
#define AGATELEDGE_HEARTBEAT_HPP

#include "ids.hpp"

#include <compare>
#include <string>
#include <vector>

namespace agateledge
{

/// Work that one daemon has open on one engine.
struct engine_share
{
    std::string engine;
    int requests = 0;
    int prefill_tokens = 0;
    int decode_requests = 0;

    auto operator<=>(engine_share const &) const = default;
};

/// Requests a second that one daemon sees from one caller in one class.
struct caller_demand
{
    std::string caller;
    std::string class_name;
    double requests_per_second = 0;

    auto operator<=>(caller_demand const &) const = default;
};

/// State that daemons send each other.
struct heartbeat
{
    std::string from;
    incarnation_number incarnation;
    std::string data_centre;
    std::string address;
    /// Grows with each heartbeat of an incarnation; older ones are dropped.
    std::uint64_t sequence = 0;
    revision_number revision;
    /// Time since the sender, or a daemon that it heard from, read the current
    /// revision in the table service, in microseconds; negative for never.
    std::int64_t revision_age_us = -1;
    bool draining = false;
    std::vector<engine_share> shares;
    std::vector<caller_demand> demand;

    auto operator<=>(heartbeat const &) const = default;
};

} // namespace agateledge

#endif
