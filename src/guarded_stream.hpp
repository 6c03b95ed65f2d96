#ifndef AGATELEDGE_GUARDED_STREAM_HPP
#define AGATELEDGE_GUARDED_STREAM_HPP

#include "connection_activity.hpp"
#include "gobject_ptr.hpp"

#include <gio/gio.h>

#include <memory>

namespace agateledge
{

/// Wraps a connection of a caller, so that only requests with valid framing can
/// be read from it; see `request_framing`. A request whose body is not valid is
/// answered with status 400, and reading fails.
///
/// @param base stream of the connection, possibly encrypted; must be pollable
/// @param activity is kept up to date
/// @return the stream to read requests from and to write answers to
gobject_ptr<GIOStream>
guard_requests(GIOStream *base, std::shared_ptr<connection_activity> activity);

} // namespace agateledge

#endif
