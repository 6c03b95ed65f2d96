#include "query_rows.hpp"

#include "json_text.hpp"
#include "query_columns.hpp"
#include "world.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <string>
#include <tuple>

namespace agateledge
{

namespace
{

using row_cells = std::vector<Json::Value>;

Json::Value number(double value)
{
    return {value};
}

Json::Value count(std::size_t value)
{
    return Json::Value(Json::UInt64(value));
}

Json::Value text(std::string_view value)
{
    return {std::string(value)};
}

Json::Value in_milliseconds(duration value)
{
    constexpr double microseconds_per_millisecond = 1000;
    return number(static_cast<double>(value.count()) /
                  microseconds_per_millisecond);
}

template <class Item>
std::size_t count_of_service(std::vector<Item> const &items,
                             std::string const &service)
{
    return std::ranges::count(items, service, &Item::service);
}

std::vector<row_cells> service_rows(world const &w)
{
    std::vector<row_cells> rows;
    for (auto const &item : w.config.services)
    {
        rows.push_back(
            {item.name, item.plain, item.model,
             count(count_of_service(w.config.classes, item.name)),
             count(count_of_service(w.config.engines, item.name)),
             count(count_of_service(w.config.endpoints, item.name))});
    }
    return rows;
}

std::vector<row_cells> class_rows(world const &w)
{
    std::vector<row_cells> rows;
    for (auto const &item : w.config.classes)
    {
        rows.push_back({item.name, item.service, item.priority,
                        in_milliseconds(item.first_token_deadline),
                        in_milliseconds(item.token_interval_deadline),
                        in_milliseconds(item.finish_deadline), item.weight,
                        item.may_wait, item.expected_output_tokens});
    }
    return rows;
}

std::string_view state_of(engine_state const &engine)
{
    if (engine.definition.withdrawn)
    {
        return "withdrawn";
    }
    if (engine.definition.draining)
    {
        return "draining";
    }
    if (engine.leaving)
    {
        return "leaving";
    }
    if (engine.changing)
    {
        return "changing";
    }
    return engine.takes_work() ? "ready" : "not ready";
}

row_cells engine_row(world const &w, engine_state const &engine)
{
    auto const &item = engine.definition;
    auto const &report = engine.report;
    Json::Value const none;
    return {item.name,
            item.address,
            item.data_centre,
            item.service,
            report ? report->model : item.model,
            report ? report->model_version : item.model_version,
            text(name_of(engine.role())),
            text(state_of(engine)),
            engine.local_requests + engine.peer_requests,
            report ? Json::Value(report->running) : none,
            report ? Json::Value(report->waiting) : none,
            report ? in_milliseconds(w.now - engine.report_measured_at) : none};
}

std::vector<row_cells> engine_rows(world const &w)
{
    std::vector<row_cells> rows;
    for (auto const &engine : w.engines.all())
    {
        if (engine.configured)
        {
            rows.push_back(engine_row(w, engine));
        }
    }
    return rows;
}

std::optional<duration> oldest_report_age(world const &w)
{
    std::optional<duration> oldest;
    for (auto const &engine : w.engines.all())
    {
        if (engine.configured && engine.report)
        {
            oldest = std::max(oldest.value_or(duration(0)),
                              duration(w.now - engine.report_measured_at));
        }
    }
    return oldest;
}

std::vector<row_cells> endpoint_rows(world const &w)
{
    std::vector<row_cells> rows;
    for (auto const &endpoint : w.endpoints.all())
    {
        auto const &item = endpoint.definition;
        std::string_view const state = endpoint.leaving        ? "leaving"
                                       : item.draining         ? "draining"
                                       : endpoint.takes_work() ? "ready"
                                                               : "not ready";
        if (endpoint.configured)
        {
            rows.push_back({item.name, item.address, item.data_centre,
                            item.service, text(state),
                            endpoint.local_requests});
        }
    }
    return rows;
}

std::vector<row_cells> model_rows(world const &w)
{
    using key = std::tuple<std::string, std::string, std::string>;
    std::map<key, std::pair<int, int>> counts;
    for (auto const &engine : w.engines.all())
    {
        if (engine.configured)
        {
            auto const &item = engine.definition;
            auto const &report = engine.report;
            auto &entry =
                counts[{report ? report->model : item.model,
                        report ? report->model_version : item.model_version,
                        item.service}];
            ++entry.first;
            entry.second += engine.takes_work() ? 1 : 0;
        }
    }
    std::vector<row_cells> rows;
    rows.reserve(counts.size());
    for (auto const &[name, entry] : counts)
    {
        rows.push_back({std::get<0>(name), std::get<1>(name), std::get<2>(name),
                        entry.first, entry.second});
    }
    return rows;
}

std::vector<row_cells> role_rows(world const &w)
{
    std::map<std::pair<std::string, engine_role>, std::pair<int, int>> counts;
    for (auto const &engine : w.engines.all())
    {
        if (engine.configured)
        {
            auto &entry = counts[{engine.definition.service, engine.role()}];
            ++entry.first;
            entry.second += engine.takes_work() ? 1 : 0;
        }
    }
    std::vector<row_cells> rows;
    rows.reserve(counts.size());
    for (auto const &[name, entry] : counts)
    {
        rows.push_back({name.first, text(name_of(name.second)), entry.first,
                        entry.second});
    }
    return rows;
}

std::vector<row_cells> host_rows(world const &w)
{
    std::vector<row_cells> rows;
    for (auto const &host : w.queries.hosts)
    {
        rows.push_back({host.name, host.data_centre, host.address, host.leaving,
                        host.entry});
    }
    return rows;
}

std::vector<row_cells> caller_rows(world const &w)
{
    std::vector<row_cells> rows;
    for (auto const &caller : w.config.callers)
    {
        rows.push_back({caller.name, caller.account, caller.requests_per_second,
                        caller.burst});
    }
    return rows;
}

std::string_view name_of(request_phase phase)
{
    switch (phase)
    {
    case request_phase::waiting:
        return "waiting";
    case request_phase::claiming:
        return "claiming";
    case request_phase::running:
        return "running";
    }
    return "unknown";
}

std::string target_of(world const &w, request_state const &request)
{
    auto const &open = w.attempts.all();
    if (!request.attempt || !open.contains(*request.attempt))
    {
        return "";
    }
    auto const &attempt = open.at(*request.attempt);
    return attempt.engine ? w.engines.at(*attempt.engine).definition.name
                          : w.endpoints.at(*attempt.endpoint).definition.name;
}

std::vector<row_cells> request_rows(world const &w)
{
    std::map<request_number, request_state const *> ordered;
    for (auto const &[number, state] : w.requests.all())
    {
        ordered.emplace(number, &state);
    }
    std::vector<row_cells> rows;
    rows.reserve(ordered.size());
    for (auto const &[number, state] : ordered)
    {
        rows.push_back({Json::UInt64(number.value()), state->arrival.caller,
                        state->account, state->kind.service, state->kind.name,
                        text(name_of(state->phase)), state->attempts,
                        in_milliseconds(w.now - state->arrived_at),
                        state->delivered_tokens, target_of(w, *state)});
    }
    return rows;
}

std::optional<double> as_number(std::string const &value)
{
    double parsed = 0;
    auto const *end = value.data() + value.size();
    auto const result = std::from_chars(value.data(), end, parsed);
    if (result.ec != std::errc() || result.ptr != end)
    {
        return std::nullopt;
    }
    return parsed;
}

/// Compares as numbers if both sides are numbers, else as text.
///
/// @return a negative number, 0 or a positive number
int compare(Json::Value const &cell, std::string const &value)
{
    auto const other = as_number(value);
    if (cell.isNumeric() && !cell.isBool() && other)
    {
        auto const cell_number = cell.asDouble();
        return cell_number < *other ? -1 : cell_number > *other ? 1 : 0;
    }
    return cell.asString().compare(value);
}

bool matches(query_condition const &condition, Json::Value const &cell)
{
    auto const order = compare(cell, condition.value);
    switch (condition.relation)
    {
    case comparison::equal:
        return order == 0;
    case comparison::not_equal:
        return order != 0;
    case comparison::less:
        return order < 0;
    case comparison::less_or_equal:
        return order <= 0;
    case comparison::greater:
        return order > 0;
    case comparison::greater_or_equal:
        return order >= 0;
    case comparison::contains:
        return cell.asString().find(condition.value) != std::string::npos;
    }
    return false;
}

std::size_t column_index(query_target target, std::string const &column)
{
    auto const &columns = columns_of(target);
    return std::ranges::find(columns, column) - columns.begin();
}

bool is_less(Json::Value const &left, Json::Value const &right)
{
    if (left.isNumeric() && right.isNumeric())
    {
        return left.asDouble() < right.asDouble();
    }
    return left.asString() < right.asString();
}

void sort_rows(query_statement const &query, std::vector<row_cells> &rows)
{
    if (!query.order)
    {
        return;
    }
    auto const column = column_index(query.target, query.order->column);
    std::ranges::stable_sort(
        rows,
        [&](row_cells const &left, row_cells const &right)
        {
            return query.order->descending
                       ? is_less(right[column], left[column])
                       : is_less(left[column], right[column]);
        });
}

/// Filters, sorts and truncates the rows as the query asks.
void select_rows(query_statement const &query, query_result &result)
{
    for (auto const &condition : query.conditions)
    {
        auto const column = column_index(query.target, condition.column);
        std::erase_if(result.rows, [&](row_cells const &row)
                      { return !matches(condition, row[column]); });
    }
    sort_rows(query, result.rows);
    result.matched = result.rows.size();
    auto const limit =
        std::min(query.limit.value_or(default_row_limit), max_row_limit);
    result.rows.resize(std::min<std::size_t>(result.rows.size(), limit));
}

query_result unfiltered_rows(world const &w, query_target target)
{
    constexpr duration zero_age{};
    auto const &confirmed = w.config_sync.confirmed_at;
    auto const configuration_age =
        confirmed ? std::optional<duration>(w.now - *confirmed) : std::nullopt;
    switch (target)
    {
    case query_target::services:
        return {service_rows(w), configuration_age, true};
    case query_target::classes:
        return {class_rows(w), configuration_age, true};
    case query_target::callers:
        return {caller_rows(w), configuration_age, true};
    case query_target::engines:
        return {engine_rows(w), oldest_report_age(w), false};
    case query_target::endpoints:
        return {endpoint_rows(w), zero_age, false};
    case query_target::models:
        return {model_rows(w), oldest_report_age(w), false};
    case query_target::roles:
        return {role_rows(w), oldest_report_age(w), false};
    case query_target::hosts:
        return {host_rows(w), duration(w.now - w.queries.hosts_received_at),
                true};
    case query_target::requests:
        return {request_rows(w), zero_age, false};
    case query_target::leases:
    case query_target::orders:
    case query_target::revisions:
        return {};
    }
    return {};
}

/// @return `value`, or its JSON text when it is an array or an object, so that
///         cells can be compared
Json::Value cell_of(Json::Value const &value)
{
    return value.isArray() || value.isObject()
               ? Json::Value(json_to_text(value))
               : value;
}

/// @return the fields of the row's document in the order of the columns. If the
///         document lacks the first column, which identifies the row, the last
///         part of the row's key is used.
row_cells document_row(query_target target, table_row const &row,
                       Json::Value const &document)
{
    auto const &columns = columns_of(target);
    row_cells out;
    for (auto const column : columns)
    {
        std::string const name(column);
        if (name == "row_version")
        {
            out.emplace_back(Json::UInt64(row.version));
            continue;
        }
        bool const is_key_column = column == columns.front();
        out.push_back(
            document.isMember(name) || !is_key_column
                ? cell_of(document[name])
                : Json::Value(row.key.substr(row.key.rfind('/') + 1)));
    }
    return out;
}

} // namespace

bool reads_table_service(query_target target)
{
    return target == query_target::leases || target == query_target::orders ||
           target == query_target::revisions;
}

query_result query_rows(world const &w, query_statement const &query)
{
    auto result = unfiltered_rows(w, query.target);
    select_rows(query, result);
    return result;
}

query_result query_table_rows(query_statement const &query,
                              std::vector<table_row> const &rows)
{
    query_result result;
    result.age = duration(0);
    result.truncated = rows.size() >= max_row_limit;
    result.complete = !result.truncated;
    for (auto const &row : rows)
    {
        auto const document = json_from_text(row.value);
        if (document.ok() && document->isObject())
        {
            result.rows.push_back(document_row(query.target, row, *document));
        }
    }
    select_rows(query, result);
    return result;
}

} // namespace agateledge
