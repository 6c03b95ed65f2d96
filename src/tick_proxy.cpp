#include "tick_proxy.hpp"

#include "admit_proxied_requests.hpp"
#include "advance_proxied_requests.hpp"
#include "assign_engine_roles.hpp"
#include "count_usage.hpp"
#include "eject_instances.hpp"
#include "exchange_account_loads.hpp"
#include "exchange_loads.hpp"
#include "exchange_part_evidence.hpp"
#include "expire_proxied_requests.hpp"
#include "hold_duty_leases.hpp"
#include "hold_suspected_prompts.hpp"
#include "order_capacity.hpp"
#include "place_proxied_requests.hpp"
#include "poll_caches.hpp"
#include "poll_store.hpp"
#include "record_instance_pauses.hpp"
#include "record_leaving_instances.hpp"
#include "record_request_limits.hpp"
#include "report_usage.hpp"
#include "share_store_reads.hpp"
#include "stop_proxy.hpp"
#include "track_engine_losses.hpp"
#include "update_directory.hpp"
#include "world.hpp"

namespace agateledge
{

void tick_proxy(world &w)
{
    receive_store_views(w);
    poll_store(w);
    update_directory(w);
    share_store_reads(w);
    exchange_loads(w);
    exchange_account_loads(w);
    hold_duty_leases(w);
    exchange_usage(w);
    report_usage(w);
    order_capacity(w, authority_over(w, duty::order_capacity));
    assign_engine_roles(w, authority_over(w, duty::assign_roles));
    record_leaving_instances(w);
    record_instance_pauses(w);
    record_request_limits(w);
    advance_proxied_requests(w);
    track_engine_losses(w);
    exchange_part_evidence(w);
    hold_suspected_prompts(w);
    eject_instances(w);
    poll_caches(w);
    admit_proxied_requests(w);
    expire_proxied_requests(w);
    place_proxied_requests(w);
    stop_proxy(w);
}

} // namespace agateledge
