#include "describe_effects.hpp"

#include "engine_order.hpp"
#include "world.hpp"

#include <algorithm>
#include <string>

namespace agateledge
{

namespace
{

Json::Value empty_effects()
{
    Json::Value out;
    out["changes"] = Json::Value(Json::arrayValue);
    out["cuts"] = Json::Value(Json::arrayValue);
    return out;
}

int open_requests(world const &w, std::string const &engine)
{
    auto const index = w.engines.find(engine);
    if (!index)
    {
        return 0;
    }
    auto const &state = w.engines.at(*index);
    return state.local_requests + state.peer_requests;
}

std::string describe(std::string_view kind, std::string const &name,
                     std::string_view what)
{
    return std::string(kind) + " " + name + ": " + std::string(what);
}

/// Appends the items that were added, removed or changed, compared by name.
template <class Item>
void compare_items(std::string_view kind, std::vector<Item> const &before,
                   std::vector<Item> const &after, Json::Value &changes)
{
    for (auto const &item : after)
    {
        auto const old = std::ranges::find(before, item.name, &Item::name);
        if (old == before.end())
        {
            changes.append(describe(kind, item.name, "added"));
        }
        else if (*old != item)
        {
            changes.append(describe(kind, item.name, "changed"));
        }
    }
    for (auto const &item : before)
    {
        if (std::ranges::find(after, item.name, &Item::name) == after.end())
        {
            changes.append(describe(kind, item.name, "removed"));
        }
    }
}

bool accepts_work_for(engine_definition const &engine,
                      std::string const &service)
{
    return engine.service == service && !engine.draining && !engine.withdrawn;
}

void list_engine_cuts(world const &w, configuration const &next,
                      Json::Value &cuts)
{
    for (auto const &engine : w.config.engines)
    {
        auto const after = std::ranges::find(next.engines, engine.name,
                                             &engine_definition::name);
        bool const remains = after != next.engines.end() &&
                             accepts_work_for(*after, engine.service);
        auto const open = open_requests(w, engine.name);
        if (!remains && accepts_work_for(engine, engine.service))
        {
            cuts.append(describe(
                "engine", engine.name,
                "accepts no new work of service " + engine.service + "; " +
                    std::to_string(open) + " open requests run to completion"));
        }
    }
}

void list_limit_cuts(world const &w, configuration const &next,
                     Json::Value &cuts)
{
    for (auto const &caller : w.config.callers)
    {
        auto const after = std::ranges::find(next.callers, caller.name,
                                             &caller_definition::name);
        if (after == next.callers.end() || after->requests_per_second == 0)
        {
            continue;
        }
        if (caller.requests_per_second == 0 ||
            after->requests_per_second < caller.requests_per_second)
        {
            cuts.append(
                describe("caller", caller.name,
                         "requests beyond " +
                             std::to_string(after->requests_per_second) +
                             " a second are refused"));
        }
    }
}

void list_class_cuts(world const &w, configuration const &next,
                     Json::Value &cuts)
{
    for (auto const &current : w.config.classes)
    {
        bool const remains =
            std::ranges::any_of(next.classes,
                                [&current](request_class const &item) {
                                    return item.name == current.name &&
                                           item.service == current.service;
                                });
        if (!remains)
        {
            cuts.append(describe("class", current.name,
                                 "new requests are refused; open ones keep "
                                 "the class that they arrived with"));
        }
    }
}

} // namespace

Json::Value describe_effects(world const &w, configuration const &next)
{
    auto out = empty_effects();
    auto &changes = out["changes"];
    compare_items("service", w.config.services, next.services, changes);
    compare_items("class", w.config.classes, next.classes, changes);
    compare_items("engine", w.config.engines, next.engines, changes);
    compare_items("endpoint", w.config.endpoints, next.endpoints, changes);
    compare_items("caller", w.config.callers, next.callers, changes);
    list_engine_cuts(w, next, out["cuts"]);
    list_class_cuts(w, next, out["cuts"]);
    list_limit_cuts(w, next, out["cuts"]);
    return out;
}

Json::Value describe_effects(world const &w, engine_order const &order)
{
    auto out = empty_effects();
    auto const target = order.kind == order_kind::change_role
                            ? "role " + std::string(name_of(order.role))
                            : order.name + " version " + order.version;
    out["changes"].append(
        describe("engine", order.engine, "ordered to take " + target));
    out["cuts"].append(describe(
        "engine", order.engine,
        "drained first (" + std::to_string(open_requests(w, order.engine)) +
            " open requests run to completion), then unavailable for some "
            "seconds"));
    return out;
}

} // namespace agateledge
