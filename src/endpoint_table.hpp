#ifndef AGATELEDGE_ENDPOINT_TABLE_HPP
#define AGATELEDGE_ENDPOINT_TABLE_HPP

#include "endpoint_definition.hpp"
#include "ids.hpp"
#include "time.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace agateledge
{

/// This daemon's view of one endpoint of a plain service.
struct endpoint_state
{
    endpoint_definition definition;
    /// False once the configuration no longer lists the endpoint.
    bool configured = true;
    /// Calls that this daemon has open on the endpoint.
    int local_requests = 0;
    /// True when the platform lists the endpoint's host as leaving.
    bool leaving = false;

    /// @return true when new calls may be sent to the endpoint
    bool takes_work() const
    {
        return configured && !definition.draining && !leaving;
    }
};

/// Endpoints of plain services by index. An index stays valid for the life of
/// the process.
class endpoint_table
{
public:
    /// Applies the endpoints of a configuration: adds new ones, updates known
    /// ones and clears `configured` of those that are no longer listed.
    void configure(std::vector<endpoint_definition> const &definitions);

    /// @return the index of the endpoint of that name, or nothing
    std::optional<endpoint_index> find(std::string_view name) const;

    endpoint_state &at(endpoint_index index)
    {
        return states_.at(index.value());
    }
    endpoint_state const &at(endpoint_index index) const
    {
        return states_.at(index.value());
    }

    std::vector<endpoint_state> &all() { return states_; }
    std::vector<endpoint_state> const &all() const { return states_; }

private:
    std::vector<endpoint_state> states_;
};

} // namespace agateledge

#endif
