#ifndef AGATELEDGE_REQUEST_CLASS_HPP
#define AGATELEDGE_REQUEST_CLASS_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

/// Class of requests with its priority and its deadlines, set by operators.
struct request_class
{
    std::string name;
    std::string service;
    /// Scheduling priority; 0 is the most urgent.
    int priority = 0;
    /// Maximum time from arrival to the first token; 0 for no limit.
    duration first_token_deadline{};
    /// Maximum mean time between tokens; 0 for no limit.
    duration token_interval_deadline{};
    /// Maximum time from arrival to the end of the answer; 0 for no limit.
    duration finish_deadline{};
    /// Weight of one answer in goodput.
    double weight = 1.0;
    /// True when a request that is predicted to miss its deadline stays queued
    /// instead of being refused.
    bool may_wait = false;
    /// Output length assumed before any answer has been observed, in tokens.
    int expected_output_tokens = 100;

    auto operator<=>(request_class const &) const = default;
};

} // namespace agateledge

#endif
