#ifndef AGATELEDGE_REASSIGN_OPEN_WORK_HPP
#define AGATELEDGE_REASSIGN_OPEN_WORK_HPP

#include "ids.hpp"

namespace agateledge
{

struct world;

/// Cancels the attempts that this daemon has open on an engine and puts their
/// requests back in the waiting queue. Their answers continue on another engine
/// from the tokens already delivered.
void reassign_open_work(world &w, engine_index engine);

} // namespace agateledge

#endif
