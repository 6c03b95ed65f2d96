#include "tick_relays.hpp"

#include "admit_relays.hpp"
#include "advance_relays.hpp"
#include "exchange_loads.hpp"
#include "expire_relays.hpp"
#include "follow_caches.hpp"
#include "follow_directory.hpp"
#include "follow_store.hpp"
#include "judge_instances.hpp"
#include "place_relays.hpp"
#include "stop_relays.hpp"

namespace agateledge
{

void tick_relays(world &w)
{
    follow_store(w);
    follow_directory(w);
    exchange_loads(w);
    advance_relays(w);
    judge_instances(w);
    follow_caches(w);
    admit_relays(w);
    expire_relays(w);
    place_relays(w);
    stop_relays(w);
}

} // namespace agateledge
