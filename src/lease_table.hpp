#ifndef AGATELEDGE_LEASE_TABLE_HPP
#define AGATELEDGE_LEASE_TABLE_HPP

namespace agateledge
{

/// Leases that this daemon holds or observes, by data centre.
class lease_table
{
};

} // namespace agateledge

#endif
