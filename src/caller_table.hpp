#ifndef AGATELEDGE_CALLER_TABLE_HPP
#define AGATELEDGE_CALLER_TABLE_HPP

#include "time.hpp"

#include <string>
#include <unordered_map>
#include <utility>

namespace agateledge
{

/// Rate of one caller in one class on this daemon.
struct caller_rate
{
    std::string caller;
    std::string class_name;
    /// Tokens in the bucket; negative until the first request fills it.
    double tokens = -1;
    instant refilled_at{};
    /// Requests since `caller_table::counted_at`, including refused ones, and
    /// their smoothed rate.
    int requests = 0;
    double requests_per_second = 0;
    /// Share of the caller's limit that this daemon grants.
    double share = 1;
};

/// Rates and limits by caller and class.
class caller_table
{
public:
    std::unordered_map<std::string, caller_rate> rates;
    instant counted_at{};
};

} // namespace agateledge

#endif
