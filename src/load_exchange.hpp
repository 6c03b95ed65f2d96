#ifndef AGATELEDGE_LOAD_EXCHANGE_HPP
#define AGATELEDGE_LOAD_EXCHANGE_HPP

#include "peer_load_report.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agateledge
{

/// Report of another daemon, with the time at which it arrived.
struct heard_report
{
    peer_load_report report;
    instant heard_at{};
};

/// What this daemon has sent to, and heard from, the other daemons about the
/// load of the engines.
struct load_exchange
{
    /// Newest report of each sender.
    std::map<std::string, heard_report> heard;
    std::uint64_t sequence = 0;
    instant next_report{};
    /// Own loads in the last report, which a report on the fleet includes.
    std::vector<engine_load> last_sent;
    /// Reports arrived that the sums of the engines do not include.
    bool changed = false;
    instant next_sum{};
};

} // namespace agateledge

#endif
