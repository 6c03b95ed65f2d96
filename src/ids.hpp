#ifndef AGATELEDGE_IDS_HPP
#define AGATELEDGE_IDS_HPP

#include "tagged_id.hpp"

namespace agateledge
{

/// Request accepted by this daemon; unique within one incarnation.
using request_number = tagged_id<struct request_tag>;

/// Attempt to run a request on an engine or endpoint; unique within one
/// incarnation. Answers are matched by attempt and not by request, so that an
/// answer to an abandoned attempt is not taken for that of a later one.
using attempt_number = tagged_id<struct attempt_tag>;

/// Operation on the table service.
using operation_number = tagged_id<struct operation_tag>;

/// Call of an operator that waits for a reply.
using operator_call_number = tagged_id<struct operator_call_tag>;

/// Position of an engine in `engine_table`.
using engine_index = tagged_id<struct engine_tag, std::uint32_t>;

/// Position of a plain service's endpoint in `endpoint_table`.
using endpoint_index = tagged_id<struct endpoint_tag, std::uint32_t>;

/// Start time of a daemon process, in microseconds since the Unix epoch. It
/// distinguishes a restarted daemon, whose number is higher, from its
/// predecessor of the same name.
using incarnation_number = tagged_id<struct incarnation_tag>;

/// Number that is incremented whenever the holder of a lease changes.
using fencing_number = tagged_id<struct fencing_tag>;

/// Revision of the configuration; 0 before the first one is known.
using revision_number = tagged_id<struct revision_tag>;

} // namespace agateledge

#endif
