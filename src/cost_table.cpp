#include "cost_table.hpp"

namespace agateledge
{

role_costs &cost_table::role(std::string const &service, engine_role role)
{
    return roles_[service].at(static_cast<std::size_t>(role));
}

role_costs const &cost_table::role(std::string const &service,
                                   engine_role role) const
{
    static role_costs const unknown;
    auto const found = roles_.find(service);
    return found == roles_.end()
               ? unknown
               : found->second.at(static_cast<std::size_t>(role));
}

engine_costs &cost_table::engine(engine_index index)
{
    if (engines_.size() <= index.value())
    {
        engines_.resize(index.value() + 1);
    }
    return engines_[index.value()];
}

engine_costs const &cost_table::engine(engine_index index) const
{
    static engine_costs const unknown;
    return index.value() < engines_.size() ? engines_[index.value()] : unknown;
}

double cost_table::expected_output(std::string const &class_name,
                                   double fallback) const
{
    auto const found = outputs_.find(class_name);
    return found == outputs_.end() || found->second.samples == 0
               ? fallback
               : found->second.mean_tokens;
}

} // namespace agateledge
