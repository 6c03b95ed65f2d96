#include "update_directory.hpp"

#include "account_directory.hpp"
#include "follow_store_era.hpp"
#include "instance_incarnation.hpp"
#include "log_proxied_request.hpp"
#include "poll_schedule.hpp"
#include "record_leaving_instances.hpp"
#include "share_store_reads.hpp"
#include "store_view_state.hpp"
#include "world.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Share of the instances whose rows must be missing before an outage of the
/// store is assumed to be the cause. If the store was unreachable for this
/// daemon only, live instances have renewed their rows meanwhile, and a missing
/// row means that the instance was removed.
constexpr double min_missing_share_in_outage = 1.0 / 3;

/// Source of changes that another daemon told of, for the log.
constexpr char const *report_source = "report";

/// @return numbers of accounts and keys, for the log; none when the
///         configuration has no accounts
log_fields account_fields(routing_configuration const &config)
{
    if (!config.accounts)
    {
        return {};
    }
    auto const &accounts = *config.accounts;
    return {{"accounts", std::to_string(accounts.accounts().size())},
            {"keys", std::to_string(accounts.keys())},
            {"new_keys", std::to_string(accounts.hashed_keys())},
            {"repeated_keys", std::to_string(accounts.repeated_keys())}};
}

void apply_configuration_row(world &w, row_read_reply const &reply)
{
    if (!reply.fault.empty())
    {
        log_proxied_request(w, log_level::error, "configuration_unreadable",
                            {{"fault", reply.fault}});
    }
    if (reply.configuration)
    {
        put_configuration_in_force(w, reply.configuration, "store");
    }
}

table_poll_state const &instances_poll(world const &w)
{
    return w.proxy.table_polls.at(
        static_cast<std::size_t>(polled_table::instances));
}

/// @param source what told of the change
void log_instance(world &w, std::string event, instance_state const &instance,
                  std::string const &source)
{
    auto const &definition = instance.definition;
    log_proxied_request(
        w, log_level::info, std::move(event),
        {{"instance", definition.id},
         {"service", definition.service},
         {"address", definition.address},
         {"data_centre", definition.data_centre},
         {"role", std::string(name_of(definition.role))},
         {"accepts_work", definition.accepts_work ? "true" : "false"},
         {"row_version", std::to_string(instance.row_version)},
         {"view_version", std::to_string(instances_poll(w).version)},
         {"source", source}});
}

/// Removes the instance, unless its row is newer than that.
///
/// @param version version as of which the instance has no row
void remove_instance(world &w, std::string const &id, std::uint64_t version,
                     std::string const &source)
{
    auto const *instance = w.proxy.instances.find(id);
    if (instance == nullptr)
    {
        // Another daemon may list an instance that this one never knew.
        if (version > store_view_of(w).removed.version_of(id))
        {
            store_view_of(w).removed.record(id, version);
            record_instance_change(w, id, version, std::nullopt);
        }
        return;
    }
    if (instance->row_version > version)
    {
        ++store_view_of(w).older_rows;
        return;
    }
    store_view_of(w).removed.record(id, version);
    log_instance(w, "instance_gone", *instance, source);
    w.proxy.instances.erase(id);
    record_instance_change(w, id, version, std::nullopt);
}

/// @return time until which rows may be missing because they could not be
///         renewed while the store was away, or away from this daemon only. It
///         ends before the daemon must know which instances have left: the
///         store may have returned any time after the last call that failed
///         began.
instant missing_row_grace_end(world const &w)
{
    auto const &store = w.proxy.store;
    auto const restored_at = store.reachable ? store.restored_at : w.now;
    return std::min(restored_at + missing_row_grace,
                    store.away_at + w.proxy.limits.reconnect_bound -
                        delivery_time);
}

bool in_missing_row_grace(world const &w)
{
    return w.proxy.store.failed_at && w.now < missing_row_grace_end(w);
}

/// An instance whose row is missing.
struct missing_row
{
    std::string id;
    /// Version as of which it is missing.
    std::uint64_t version = 0;
};

void handle_missing_row(world &w, missing_row const &row, bool outage,
                        std::string const &source)
{
    auto *instance = w.proxy.instances.find(row.id);
    if (instance == nullptr || !outage || !instance->definition.accepts_work)
    {
        remove_instance(w, row.id, row.version, source);
        return;
    }
    if (instance->row_version > row.version)
    {
        ++store_view_of(w).older_rows;
        return;
    }
    instance->missing_as_of = std::max(instance->missing_as_of, row.version);
    if (instance->expires_at)
    {
        return;
    }
    auto const era_changed_at = store_view_of(w).era_changed_at;
    instance->expires_at = std::max(
        missing_row_grace_end(w),
        era_changed_at ? *era_changed_at + missing_row_grace : instant{});
    log_instance(w, "instance_lapsed", *instance, source);
    // Others decide on a grace of their own.
    record_instance_change(w, row.id, row.version, std::nullopt);
}

/// Handles instances whose rows are missing. If many are missing just after an
/// outage of the store, their rows have probably expired, and they are kept for
/// a grace period; otherwise they are removed.
void handle_missing_rows(world &w, std::vector<missing_row> const &rows,
                         std::string const &source)
{
    auto const &all = w.proxy.instances.all();
    auto const expiring =
        std::ranges::count_if(all, [](auto const &item)
                              { return item.second.expires_at.has_value(); });
    // A report repeats removals that are known already.
    auto const newly_missing = std::ranges::count_if(
        rows,
        [&w](missing_row const &row)
        {
            auto const *instance = w.proxy.instances.find(row.id);
            return instance != nullptr && !instance->expires_at &&
                   instance->row_version <= row.version;
        });
    auto const missing =
        static_cast<double>(newly_missing) + static_cast<double>(expiring);
    bool const outage =
        in_era_grace(w) || (in_missing_row_grace(w) &&
                            missing >= min_missing_share_in_outage *
                                           static_cast<double>(all.size()));
    std::ranges::for_each(rows, [&w, outage, &source](missing_row const &row)
                          { handle_missing_row(w, row, outage, source); });
}

/// @return true when the row is at least as new as what is known of its
///         instance
bool is_current(world const &w, instance_row const &row)
{
    auto const *known = w.proxy.instances.find(row.id);
    if (known == nullptr)
    {
        return row.row_version > w.proxy.store_view->removed.version_of(row.id);
    }
    return known->expires_at ? row.row_version > known->missing_as_of
                             : row.row_version >= known->row_version;
}

void apply_instance_row(world &w, instance_row const &row,
                        std::string const &source)
{
    if (!is_current(w, row))
    {
        ++store_view_of(w).older_rows;
        return;
    }
    if (!row.instance)
    {
        log_proxied_request(w, log_level::warning, "instance_unreadable",
                            {{"instance", row.id},
                             {"row_version", std::to_string(row.row_version)}});
        remove_instance(w, row.id, row.row_version, source);
        return;
    }
    auto const *known = w.proxy.instances.find(row.id);
    auto const definition = without_reverted_drain(w, *row.instance);
    bool const changed = known == nullptr || known->expires_at ||
                         known->definition != definition;
    bool const written =
        known == nullptr || known->row_version != row.row_version;
    bool const role_changed =
        known != nullptr && known->definition.role != definition.role;
    if (!definition.accepts_work && definition.started_at_ms != 0)
    {
        // A write that the store carries out late may say otherwise. Without a
        // known start, a restarted instance could not be told apart.
        record_leave(w, incarnation_of(definition));
    }
    auto &state = w.proxy.instances.put(definition, row.row_version);
    if (role_changed)
    {
        state.closed_until = instant{};
        state.peer_closed_until = instant{};
    }
    if (written || changed)
    {
        // Another daemon may know of a removal before this write.
        record_instance_change(w, row.id, row.row_version, definition);
    }
    if (changed)
    {
        log_instance(
            w, definition.accepts_work ? "instance_listed" : "instance_leaving",
            state, source);
    }
}

/// @param version version of the read
/// @return the known instances that a full read did not return
std::vector<missing_row> missing_from(world const &w,
                                      std::vector<std::string> const &listed,
                                      std::uint64_t version)
{
    std::set<std::string> const present(listed.begin(), listed.end());
    std::vector<missing_row> missing;
    for (auto const &[id, state] : w.proxy.instances.all())
    {
        if (!present.contains(id))
        {
            missing.push_back({id, version});
        }
    }
    return missing;
}

void apply_instance_rows(world &w, row_read_reply const &reply)
{
    std::string const source = reply.full ? "full_read" : "changes";
    std::vector<missing_row> missing;
    for (auto const &row : reply.instances)
    {
        if (row.instance || row.unreadable)
        {
            apply_instance_row(w, row, source);
            continue;
        }
        missing.push_back({row.id, row.row_version});
    }
    auto &listed = w.proxy.listed_instances;
    if (reply.full)
    {
        std::ranges::transform(reply.instances, std::back_inserter(listed),
                               &instance_row::id);
    }
    bool const whole = reply.full && !reply.truncated;
    auto const version = instances_poll(w).first_page_version;
    if (whole)
    {
        missing = missing_from(w, std::exchange(listed, {}), version);
    }
    handle_missing_rows(w, missing, source);
    if (whole)
    {
        store_view_of(w).removed.record_others(version);
    }
}

void apply_daemon_rows(world &w, row_read_reply const &reply)
{
    for (auto const &row : reply.daemons)
    {
        if (row.removed)
        {
            w.proxy.daemons.erase(row.name);
            continue;
        }
        auto const [place, added] = w.proxy.daemons.insert_or_assign(
            row.name, daemon_peer{w.now, row.peer_address, row.data_centre});
        if (added)
        {
            log_proxied_request(
                w, log_level::info, "daemon_seen",
                {{"peer", row.name},
                 {"address", row.peer_address},
                 {"data_centre", row.data_centre},
                 {"row_version", std::to_string(row.row_version)}});
        }
    }
}

void apply_rows(world &w, row_read_reply const &reply)
{
    switch (reply.table)
    {
    case polled_table::configuration:
        apply_configuration_row(w, reply);
        return;
    case polled_table::instances:
        apply_instance_rows(w, reply);
        return;
    case polled_table::daemons:
        apply_daemon_rows(w, reply);
        return;
    }
}

void remove_expired_instances(world &w)
{
    std::vector<missing_row> expired;
    for (auto const &[id, state] : w.proxy.instances.all())
    {
        if (!state.expires_at)
        {
            continue;
        }
        if (*state.expires_at <= w.now)
        {
            expired.push_back({id, state.missing_as_of});
            continue;
        }
        wake_at(w, *state.expires_at);
    }
    std::ranges::for_each(
        expired, [&w](missing_row const &row)
        { remove_instance(w, row.id, row.version, "grace_end"); });
}

void remove_expired_daemons(world &w)
{
    auto const lifetime = daemon_row_lifetime(w.proxy);
    std::erase_if(w.proxy.daemons,
                  [&w, lifetime](auto const &item)
                  {
                      bool const lost =
                          w.proxy.store.reachable &&
                          w.now - item.second.row_changed_at > lifetime;
                      if (lost)
                      {
                          log_proxied_request(w, log_level::info, "daemon_lost",
                                              {{"peer", item.first}});
                      }
                      return lost;
                  });
}

} // namespace

bool put_configuration_in_force(
    world &w, std::shared_ptr<routing_configuration const> const &next,
    std::string const &source)
{
    auto const before = w.proxy.routing->version;
    if (next->version <= before)
    {
        return false;
    }
    w.proxy.set_routing(next);
    log_fields fields{{"version", std::to_string(next->version)},
                      {"before", std::to_string(before)},
                      {"routes", std::to_string(next->routes.size())},
                      {"source", source}};
    std::ranges::move(account_fields(*next), std::back_inserter(fields));
    log_proxied_request(w, log_level::info, "configuration_in_force",
                        std::move(fields));
    return true;
}

void apply_reported_rows(world &w, std::vector<reported_instance> const &rows)
{
    std::vector<missing_row> missing;
    for (auto const &reported : rows)
    {
        if (!reported.definition)
        {
            missing.push_back({reported.id, reported.row_version});
            continue;
        }
        instance_row row;
        row.id = reported.id;
        row.row_version = reported.row_version;
        row.instance =
            std::make_shared<instance_definition const>(*reported.definition);
        apply_instance_row(w, row, report_source);
    }
    handle_missing_rows(w, missing, report_source);
}

void update_directory(world &w)
{
    for (auto const &reply : w.in.row_read_replies)
    {
        if (reply.outcome == row_outcome::answered)
        {
            apply_rows(w, reply);
        }
    }
    remove_expired_instances(w);
    remove_expired_daemons(w);
}

} // namespace agateledge
