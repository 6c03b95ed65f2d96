#include "explain_decision.hpp"

#include "world.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace agateledge
{

namespace
{

/// Maximum number of rows of an answer; the latest are kept.
constexpr Json::ArrayIndex max_rows = 200;

std::string_view name_of(decision_kind kind)
{
    switch (kind)
    {
    case decision_kind::candidate:
        return "candidate";
    case decision_kind::attempt:
        return "attempt";
    case decision_kind::requeued:
        return "requeued";
    case decision_kind::refused:
        return "refused";
    case decision_kind::finished:
        return "finished";
    }
    return "unknown";
}

std::string target_of(world const &w, decision const &item)
{
    if (item.target == decision::no_target)
    {
        return "";
    }
    return item.on_engine
               ? w.engines.at(engine_index(item.target)).definition.name
               : w.endpoints.at(endpoint_index(item.target)).definition.name;
}

Json::Value row_of(world const &w, decision const &item)
{
    constexpr double microseconds_per_millisecond = 1000;
    auto const ago = duration(w.now - item.at).count();
    Json::Value row(Json::arrayValue);
    row.append(static_cast<double>(ago) / microseconds_per_millisecond);
    row.append(Json::UInt64(item.request.value()));
    row.append(std::string(name_of(item.kind)));
    row.append(target_of(w, item));
    row.append(item.kind == decision_kind::refused
                   ? Json::Value(std::string(agateledge::name_of(item.code)))
                   : Json::Value());
    row.append(item.cost_us < 0
                   ? Json::Value()
                   : Json::Value(static_cast<double>(item.cost_us) /
                                 microseconds_per_millisecond));
    row.append(item.reason);
    return row;
}

bool matches(world const &w, why_statement const &why, decision const &item)
{
    switch (why.subject)
    {
    case why_subject::request:
        return item.request.value() == why.request;
    case why_subject::engine:
        return item.on_engine && target_of(w, item) == why.engine;
    case why_subject::refusal:
        return why.request ? item.request.value() == why.request
                           : item.kind == decision_kind::refused;
    }
    return false;
}

Json::Value rows_of(world const &w, why_statement const &why)
{
    Json::Value rows(Json::arrayValue);
    w.queries.decisions.for_each(
        [&](decision const &item)
        {
            if (matches(w, why, item))
            {
                rows.append(row_of(w, item));
            }
        });
    while (rows.size() > max_rows)
    {
        rows.removeIndex(0, nullptr);
    }
    return rows;
}

/// @return array of the reasons why an engine takes no work; empty when it does
Json::Value reasons_against(engine_state const &engine)
{
    Json::Value reasons(Json::arrayValue);
    auto const add = [&reasons](bool applies, char const *reason)
    {
        if (applies)
        {
            reasons.append(reason);
        }
    };
    add(!engine.configured, "not in the configuration in force");
    add(engine.definition.service.empty(), "not assigned to a service");
    add(engine.definition.draining, "drained by an operator");
    add(engine.definition.withdrawn, "withdrawn by an operator");
    add(engine.leaving, "its host is leaving");
    add(engine.changing, "an order to it is open");
    add(engine.report && !engine.report->ready,
        "it reports that it is not ready");
    return reasons;
}

} // namespace

Json::Value explain_decision(world const &w, why_statement const &why)
{
    Json::Value out;
    for (auto const *column : {"ago_ms", "request", "step", "target", "code",
                               "predicted_ms", "reason"})
    {
        out["columns"].append(column);
    }
    out["rows"] = rows_of(w, why);
    out["decisions_overwritten"] =
        Json::UInt64(w.queries.decisions.overwritten());
    auto const engine = why.subject == why_subject::engine
                            ? w.engines.find(why.engine)
                            : std::nullopt;
    if (engine)
    {
        out["takes_work"] = w.engines.at(*engine).takes_work();
        out["reasons"] = reasons_against(w.engines.at(*engine));
    }
    return out;
}

} // namespace agateledge
