#include "lease_table.hpp"

namespace agateledge
{

lease_state &lease_table::add(std::string const &data_centre)
{
    auto &state = states_[data_centre];
    state.data_centre = data_centre;
    return state;
}

lease_state const *lease_table::find(std::string const &data_centre) const
{
    auto const found = states_.find(data_centre);
    return found == states_.end() ? nullptr : &found->second;
}

lease_state *lease_table::find(std::string const &data_centre)
{
    auto const found = states_.find(data_centre);
    return found == states_.end() ? nullptr : &found->second;
}

} // namespace agateledge
