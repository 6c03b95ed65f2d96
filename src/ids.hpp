#ifndef AGATELEDGE_IDS_HPP
#define AGATELEDGE_IDS_HPP

#include "tagged_id.hpp"

namespace agateledge
{

/// Request accepted by this daemon; unique within one incarnation.
using request_number = tagged_id<struct request_tag>;

/// One try to run a request on an engine or endpoint; unique within one
/// incarnation. Answers are matched by attempt, never by request.
using attempt_number = tagged_id<struct attempt_tag>;

/// One call to the table service.
using operation_number = tagged_id<struct operation_tag>;

/// Call of an operator that waits for its reply.
using operator_call_number = tagged_id<struct operator_call_tag>;

/// Position of an engine in `engine_table`.
using engine_index = tagged_id<struct engine_tag, std::uint32_t>;

/// Position of a plain service's endpoint in `endpoint_table`.
using endpoint_index = tagged_id<struct endpoint_tag, std::uint32_t>;

/// Start of a daemon process, in microseconds since the Unix epoch. A restarted
/// daemon of the same name has a higher one.
using incarnation_number = tagged_id<struct incarnation_tag>;

/// Number that grows with each change of a lease's holder.
using fencing_number = tagged_id<struct fencing_tag>;

/// Revision of the configuration; 0 before the first one is known.
using revision_number = tagged_id<struct revision_tag>;

} // namespace agateledge

#endif
