#ifndef AGATELEDGE_FAULT_SWITCHES_HPP
#define AGATELEDGE_FAULT_SWITCHES_HPP

namespace agateledge
{

/// Fault injection: each switch disables one safety mechanism. Only tests set
/// them, to show that the invariant checks detect the missing mechanism; a
/// daemon has no setting for them.
struct fault_switches
{
    bool skip_claim = false;
    bool skip_authority_check = false;
    bool skip_order_resolution = false;
    bool shift_resume_offset = false;
    bool allow_revision_rollback = false;
    bool refuse_after_send = false;
    bool skip_drain = false;
};

} // namespace agateledge

#endif
