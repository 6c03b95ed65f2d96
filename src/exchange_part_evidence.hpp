#ifndef AGATELEDGE_EXCHANGE_PART_EVIDENCE_HPP
#define AGATELEDGE_EXCHANGE_PART_EVIDENCE_HPP

namespace agateledge
{

struct world;

/// Merges the evidence on prompt parts that crash engines which other daemons
/// report, and reports this daemon's evidence to them: at once when there is
/// news, and repeatedly while any loss counts, so that daemons that missed a
/// report or started later receive it.
void exchange_part_evidence(world &w);

} // namespace agateledge

#endif
