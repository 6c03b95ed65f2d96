#ifndef AGATELEDGE_REQUEST_CLASS_HPP
#define AGATELEDGE_REQUEST_CLASS_HPP

#include "time.hpp"

#include <string>

namespace agateledge
{

/// Kind of request with its urgency and its deadlines, set by operators.
struct request_class
{
    std::string name;
    std::string service;
    /// Rank of urgency; 0 is the most urgent.
    int priority = 0;
    /// Longest time from arrival to the first token; 0 for no bound.
    duration first_token_deadline{};
    /// Longest mean time between tokens; 0 for no bound.
    duration token_interval_deadline{};
    /// Longest time from arrival to the end of the answer.
    duration finish_deadline{};
    /// Weight of one answer in goodput.
    double weight = 1.0;
    /// True when a request may wait past the predicted deadline in place of
    /// being refused.
    bool may_wait = false;
    /// Output length assumed before any answer has been observed, in tokens.
    int expected_output_tokens = 100;

    auto operator<=>(request_class const &) const = default;
};

} // namespace agateledge

#endif
