#ifndef AGATELEDGE_LOAD_EXCHANGE_STATE_HPP
#define AGATELEDGE_LOAD_EXCHANGE_STATE_HPP

#include "peer_load_report.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace agateledge
{

/// Load report of another daemon.
struct received_report
{
    peer_load_report report;
    instant received_at{};
};

/// State of the exchange of engine loads with the other daemons.
struct load_exchange_state
{
    /// Newest report of each sender.
    std::map<std::string, received_report> received_reports;
    std::uint64_t sequence = 0;
    instant next_report{};
    /// This daemon's loads in its last report. They are contained in the sum of
    /// the fleet that a hub returns and are subtracted from it.
    std::vector<engine_load> last_sent;
    /// Reports have arrived or expired since the loads were last summed.
    bool changed = false;
    instant next_sum{};
    /// Time at which the loads of the others were last summed, and the mean age
    /// that they had then.
    instant summed_at{};
    duration report_delay{};
};

} // namespace agateledge

#endif
