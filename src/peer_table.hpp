#ifndef AGATELEDGE_PEER_TABLE_HPP
#define AGATELEDGE_PEER_TABLE_HPP

namespace agateledge
{

/// Other daemons of the deployment.
class peer_table
{
};

} // namespace agateledge

#endif
