#ifndef AGATELEDGE_REFUSE_WITHDRAWN_CALLERS_HPP
#define AGATELEDGE_REFUSE_WITHDRAWN_CALLERS_HPP

namespace agateledge
{

struct world;

/// Refuses the requests that have not been sent to an engine or endpoint yet
/// and whose caller the configuration in force does not name. They were
/// accepted with a key of an earlier revision, or of the settings file.
void refuse_withdrawn_callers(world &w);

} // namespace agateledge

#endif
