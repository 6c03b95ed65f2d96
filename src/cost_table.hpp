#ifndef AGATELEDGE_COST_TABLE_HPP
#define AGATELEDGE_COST_TABLE_HPP

namespace agateledge
{

/// Observed speeds of engines and endpoints.
class cost_table
{
};

} // namespace agateledge

#endif
