#ifndef AGATELEDGE_LOAD_HISTORY_HPP
#define AGATELEDGE_LOAD_HISTORY_HPP

#include "activity_table.hpp"
#include "capacity_view.hpp"
#include "time.hpp"

#include <deque>
#include <optional>

namespace agateledge
{

/// Load of a service in the last seconds.
class load_history
{
public:
    /// Adds a sample; the load begins to be known with the first one that has
    /// prompt tokens, since the daemons start before the callers.
    void add(activity_rates const &rates, double open_requests, instant now);

    /// Forgets the samples, when the rates are no longer known.
    void clear();

    /// @return the load; none until it has been known for some time
    std::optional<service_load> load(instant now) const;

private:
    struct sample
    {
        instant at{};
        activity_rates rates;
        double open_requests = 0;
        /// Mean of the prompt tokens per second up to this sample.
        double mean_tokens_per_s = 0;
    };

    std::deque<sample> samples_;
    std::optional<instant> known_since_;
};

} // namespace agateledge

#endif
