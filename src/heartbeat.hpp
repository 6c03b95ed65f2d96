#ifndef AGATELEDGE_HEARTBEAT_HPP
#define AGATELEDGE_HEARTBEAT_HPP

#include "ids.hpp"

#include <compare>
#include <cstdint>
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

/// Requests per second that one daemon receives from one caller in one class.
struct caller_demand
{
    std::string caller;
    std::string class_name;
    double requests_per_second = 0;

    auto operator<=>(caller_demand const &) const = default;
};

/// Engine that the holder of its lease is changing.
struct engine_change
{
    std::string engine;
    /// Generation that the change expects; a higher one ends the change.
    std::uint64_t generation = 0;
    /// Time since the holder of the lease stated the change, in microseconds.
    std::int64_t age_us = 0;

    auto operator<=>(engine_change const &) const = default;
};

/// State that daemons exchange.
struct heartbeat
{
    std::string from;
    incarnation_number incarnation;
    std::string data_centre;
    std::string address;
    /// Increases with each heartbeat of an incarnation; a heartbeat with a
    /// lower number than the last one is dropped.
    std::uint64_t sequence = 0;
    /// Sequence number of the heartbeat that this one replies to; 0 for none.
    std::uint64_t answered_sequence = 0;
    revision_number revision;
    /// Time since the sender, or a daemon whose confirmation it received, read
    /// the current revision in the table service, in microseconds; negative for
    /// never.
    std::int64_t revision_age_us = -1;
    bool draining = false;
    std::vector<engine_share> shares;
    std::vector<caller_demand> demand;
    std::vector<engine_change> changes;

    auto operator<=>(heartbeat const &) const = default;
};

} // namespace agateledge

#endif
