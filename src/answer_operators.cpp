#include "answer_operators.hpp"

#include "apply_statement.hpp"
#include "configuration_head.hpp"
#include "configuration_sections.hpp"
#include "describe_effects.hpp"
#include "engine_order.hpp"
#include "explain_decision.hpp"
#include "json_text.hpp"
#include "parse_statement.hpp"
#include "propose_configuration.hpp"
#include "query_columns.hpp"
#include "query_rows.hpp"
#include "request_order.hpp"
#include "send_table_call.hpp"
#include "statement_text.hpp"
#include "world.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace agateledge
{

namespace
{

constexpr unsigned default_history_rows = 20;
constexpr unsigned max_history_rows = 200;

void reply(world &w, operator_call_number call, result_code code,
           std::string text)
{
    w.out.operator_replies.push_back({call, code, std::move(text)});
}

void refuse(world &w, operator_call_number call, absl::Status const &status)
{
    reply(w, call, code_of(status), std::string(status.message()));
}

/// Replies with `body`, to which it adds the name of this daemon and the
/// revision in force.
void reply_with(world &w, operator_call_number call, Json::Value body,
                bool complete)
{
    body["daemon"] = w.identity.name;
    body["revision"] = Json::UInt64(w.config.revision.value());
    body["complete"] = complete;
    reply(w, call, result_code::ok, json_to_text(body));
}

/// As `reply_with`; unless `complete`, also adds the daemons that were not
/// asked.
void answer(world &w, operator_call_number call, Json::Value body,
            bool complete)
{
    if (!complete)
    {
        body["note"] = "answer of one daemon; the others were not asked";
        body["not_asked"] = Json::Value(Json::arrayValue);
        for (auto const &[name, peer] : w.peers.states)
        {
            body["not_asked"].append(name);
        }
    }
    reply_with(w, call, std::move(body), complete);
}

void answer_rows(world &w, operator_call_number call, query_target target,
                 query_result const &result)
{
    Json::Value body;
    for (auto const column : columns_of(target))
    {
        body["columns"].append(std::string(column));
    }
    body["rows"] = Json::Value(Json::arrayValue);
    for (auto const &cells : result.rows)
    {
        Json::Value row(Json::arrayValue);
        std::ranges::for_each(cells, [&row](Json::Value const &cell)
                              { row.append(cell); });
        body["rows"].append(std::move(row));
    }
    body["matched"] = Json::UInt64(result.matched);
    body["cut_by_limit"] =
        result.truncated || result.matched > result.rows.size();
    body["age_us"] = result.age ? Json::Value(Json::Int64(result.age->count()))
                                : Json::Value();
    if (result.truncated)
    {
        body["note"] = "the table service may have more rows than were read";
        reply_with(w, call, std::move(body), false);
        return;
    }
    answer(w, call, std::move(body), result.complete);
}

/// Starts a call to the table service; `parsed` is continued with its rows.
void start_table_read(world &w, operator_request const &request,
                      statement parsed, table_call call)
{
    auto const operation =
        send_table_call(w, table_owner::operators, std::move(call));
    w.queries.add_pending(operation, {request, std::move(parsed)});
}

table_call make_scan_call(query_target target)
{
    table_call call;
    call.prefix = target == query_target::leases ? "lease/" : "order/";
    call.limit = max_row_limit;
    return call;
}

/// @return a call that reads the latest revisions by their keys; a read by
/// prefix
///         would return the earliest ones
table_call make_revisions_call(world const &w, unsigned limit)
{
    table_call call;
    auto revision = w.config.revision.value();
    for (; revision > 0 && call.keys.size() < std::min(limit, max_history_rows);
         --revision)
    {
        call.keys.push_back(revision_key(revision_number(revision)));
    }
    return call;
}

engine_order make_engine_order(world const &w, order_change const &change)
{
    engine_order order;
    if (auto const *role = std::get_if<change_role>(&change))
    {
        order.engine = role->engine;
        order.kind = order_kind::change_role;
        order.role = role->role;
    }
    else if (auto const *adapter = std::get_if<load_adapter>(&change))
    {
        order.engine = adapter->engine;
        order.kind = order_kind::load_adapter;
        order.name = adapter->adapter;
        order.version = adapter->version;
    }
    else
    {
        auto const &load = std::get<load_version>(change);
        auto const index = w.engines.find(load.engine);
        order.engine = load.engine;
        order.kind = order_kind::load_model;
        order.name = index ? w.engines.at(*index).definition.model : "";
        order.version = load.version;
    }
    return order;
}

/// Executes one statement of one operator.
class statement_runner
{
public:
    statement_runner(world &w, operator_request const &request)
        : w_(w), request_(request)
    {
    }

    void operator()(query_statement const &query)
    {
        if (query.target == query_target::revisions)
        {
            start_table_read(w_, request_, query,
                             make_revisions_call(w_, max_history_rows));
            return;
        }
        if (reads_table_service(query.target))
        {
            start_table_read(w_, request_, query, make_scan_call(query.target));
            return;
        }
        answer_rows(w_, request_.call, query.target, query_rows(w_, query));
    }

    void operator()(transaction_statement const &transaction)
    {
        auto const current = w_.config.revision.value();
        if (transaction.base.value_or(current) != current)
        {
            reply(w_, request_.call, result_code::revision_conflict,
                  "revision " + std::to_string(current) + " is in force, not " +
                      std::to_string(*transaction.base));
            return;
        }
        auto next = apply_statement(w_.config, transaction.changes);
        if (!next.ok())
        {
            refuse(w_, request_.call, next.status());
            return;
        }
        if (transaction.dry_run)
        {
            answer(w_, request_.call, describe_effects(w_, *next), false);
            return;
        }
        propose(*std::move(next), summary_of(transaction));
    }

    void operator()(order_statement const &statement)
    {
        auto const order = make_engine_order(w_, statement.order);
        auto const index = w_.engines.find(order.engine);
        if (!index || !w_.engines.at(*index).configured)
        {
            reply(w_, request_.call, result_code::invalid_change,
                  "no engine \"" + order.engine + "\"");
            return;
        }
        if (statement.dry_run)
        {
            answer(w_, request_.call, describe_effects(w_, order), false);
            return;
        }
        if (!request_order(w_, order))
        {
            reply(w_, request_.call, result_code::authority_lost,
                  "this daemon does not hold the lease of data centre \"" +
                      w_.engines.at(*index).definition.data_centre +
                      "\", or another order to the engine is open; see \"show "
                      "leases\" and \"show orders\"");
            return;
        }
        Json::Value body;
        body["order"] = to_text(statement.order);
        body["state"] = "taken up; see \"show orders\"";
        answer(w_, request_.call, std::move(body), true);
    }

    void operator()(why_statement const &why)
    {
        answer(w_, request_.call, explain_decision(w_, why), false);
    }

    void operator()(history_statement const &history)
    {
        query_statement query;
        query.target = query_target::revisions;
        query.limit = history.limit.value_or(default_history_rows);
        start_table_read(w_, request_, query,
                         make_revisions_call(w_, *query.limit));
    }

    void operator()(undo_statement const &undo)
    {
        auto const current = w_.config.revision.value();
        if (undo.revision != current || current < 2)
        {
            reply(w_, request_.call, result_code::revision_conflict,
                  "only the revision in force (" + std::to_string(current) +
                      ") can be undone, and not the first one");
            return;
        }
        table_call call;
        call.keys.push_back(revision_key(revision_number(current - 1)));
        start_table_read(w_, request_, undo, std::move(call));
    }

    /// Completes an `undo` with the configuration of the earlier revision.
    void complete_undo(undo_statement const &undo, configuration earlier)
    {
        if (undo.revision != w_.config.revision.value())
        {
            (*this)(undo);
            return;
        }
        earlier.revision = w_.config.revision;
        if (undo.dry_run)
        {
            answer(w_, request_.call, describe_effects(w_, earlier), false);
            return;
        }
        propose(std::move(earlier),
                "undo revision " + std::to_string(undo.revision));
    }

private:
    static std::string summary_of(transaction_statement const &transaction)
    {
        std::string text;
        for (auto const &change : transaction.changes)
        {
            text += (text.empty() ? "" : "; ") + to_text(change);
        }
        return text;
    }

    void propose(configuration next, std::string summary)
    {
        next.author = request_.operator_name;
        next.changed_at = request_.received_at;
        next.summary = std::move(summary);
        propose_configuration(w_, std::move(next), request_.call);
    }

    world &w_;
    operator_request const &request_;
};

void answer_request(world &w, operator_request const &request)
{
    auto const parsed = parse_statement(request.text);
    if (!parsed.ok())
    {
        refuse(w, request.call, parsed.status());
        return;
    }
    std::visit(statement_runner(w, request), *parsed);
}

void refuse_undo(world &w, pending_statement const &pending)
{
    reply(w, pending.request.call, result_code::invalid_change,
          "the table service has no document of the earlier revision");
}

/// Starts the read of the sections that the earlier revision refers to.
void read_sections(world &w, pending_statement pending, table_row const &row)
{
    auto index = configuration_index_from_json(row.value);
    if (!index.ok())
    {
        refuse_undo(w, pending);
        return;
    }
    table_call call;
    for (auto const &[name, digest] : index->sections)
    {
        call.keys.push_back(section_key(digest));
    }
    pending.index = *std::move(index);
    w.queries.add_pending(
        send_table_call(w, table_owner::operators, std::move(call)),
        std::move(pending));
}

void continue_undo(world &w, pending_statement const &pending,
                   std::vector<table_row> const &rows)
{
    if (!pending.index)
    {
        read_sections(w, pending, rows.at(0));
        return;
    }
    section_documents documents;
    for (auto const &row : rows)
    {
        documents.insert_or_assign(
            section_digest(row.value),
            std::make_shared<std::string const>(row.value));
    }
    auto const earlier = join_configuration(*pending.index, documents);
    if (!earlier.ok())
    {
        refuse_undo(w, pending);
        return;
    }
    statement_runner(w, pending.request)
        .complete_undo(std::get<undo_statement>(pending.parsed), *earlier);
}

void handle_table_reply(world &w, table_reply const &result)
{
    if (result.owner != table_owner::operators)
    {
        return;
    }
    auto const pending = w.queries.take_pending(result.operation);
    if (!pending)
    {
        return;
    }
    if (result.outcome != table_outcome::committed)
    {
        reply(w, pending->request.call, result_code::store_unavailable,
              "the table service does not answer");
        return;
    }
    if (auto const *query = std::get_if<query_statement>(&pending->parsed))
    {
        answer_rows(w, pending->request.call, query->target,
                    query_table_rows(*query, result.rows));
        return;
    }
    if (std::holds_alternative<undo_statement>(pending->parsed))
    {
        continue_undo(w, *pending, result.rows);
        return;
    }
}

} // namespace

void answer_operators(world &w)
{
    if (!w.in.membership_reports.empty())
    {
        w.queries.hosts = w.in.membership_reports.back().hosts;
        w.queries.hosts_received_at = w.now;
    }
    std::ranges::for_each(w.in.table_replies, [&w](table_reply const &result)
                          { handle_table_reply(w, result); });
    std::ranges::for_each(w.in.operator_requests,
                          [&w](operator_request const &request)
                          { answer_request(w, request); });
}

} // namespace agateledge
