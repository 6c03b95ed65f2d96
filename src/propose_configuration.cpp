#include "propose_configuration.hpp"

#include "append_configuration_writes.hpp"
#include "apply_configuration.hpp"
#include "configuration_head.hpp"
#include "json_text.hpp"
#include "send_table_call.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Operations on the table service, reads included, after which the operator is
/// told that the outcome is unknown.
constexpr int max_operations = 6;
constexpr duration call_timeout = seconds(2);

void reply_to_operator(world &w, operator_call_number call, result_code code,
                       revision_number revision, std::string const &message)
{
    Json::Value text;
    text["revision"] = Json::UInt64(revision.value());
    if (!message.empty())
    {
        text["message"] = message;
    }
    w.out.operator_replies.push_back({call, code, json_to_text(text)});
}

void send(world &w, configuration_proposal proposal, proposal_step step,
          table_call call)
{
    proposal.step = step;
    proposal.sent_at = w.now;
    ++proposal.operations_sent;
    auto const operation =
        send_table_call(w, table_owner::operators, std::move(call));
    w.config_sync.proposals.emplace(operation, std::move(proposal));
}

void send_head_read(world &w, configuration_proposal proposal)
{
    table_call call;
    call.keys.emplace_back(configuration_head_key);
    send(w, std::move(proposal), proposal_step::reading_head, std::move(call));
}

void send_result_read(world &w, configuration_proposal proposal)
{
    table_call call;
    call.keys.emplace_back(configuration_head_key);
    call.keys.push_back(revision_key(proposal.next.revision));
    send(w, std::move(proposal), proposal_step::reading_result,
         std::move(call));
}

void send_write(world &w, configuration_proposal proposal)
{
    auto const &next = proposal.next;
    table_call call;
    call.conditions.push_back({configuration_head_key, proposal.head_version});
    call.conditions.push_back({revision_key(next.revision), 0});
    append_configuration_writes(call, w.config_sync, proposal.index,
                                proposal.documents, proposal.write_id);
    send(w, std::move(proposal), proposal_step::writing, std::move(call));
}

void complete(world &w, configuration_proposal const &proposal)
{
    if (proposal.index.revision > w.config_sync.stored.revision)
    {
        w.config_sync.stored = proposal.index;
        w.config_sync.documents = proposal.documents;
    }
    if (activate_configuration(w, proposal.next))
    {
        confirm_revision(w, proposal.sent_at);
    }
    reply_to_operator(w, proposal.call, result_code::ok, proposal.next.revision,
                      "");
}

void reject(world &w, configuration_proposal const &proposal,
            revision_number current)
{
    reply_to_operator(
        w, proposal.call, result_code::revision_conflict, current,
        "another change was committed first; the current revision is " +
            std::to_string(current.value()));
}

void handle_head(world &w, configuration_proposal proposal,
                 table_row const &row)
{
    auto const head = configuration_head_from_text(row.value);
    if (head.revision.value() + 1 != proposal.next.revision.value())
    {
        reject(w, proposal, head.revision);
        return;
    }
    proposal.head_version = row.version;
    send_write(w, std::move(proposal));
}

/// Resolves a write with an unknown outcome: the row of the new revision holds
/// the identifier of the write that took effect. If the row is absent, the
/// write is sent again; its conditions let it take effect at most once.
void handle_result(world &w, configuration_proposal proposal,
                   std::vector<table_row> const &rows)
{
    if (rows.at(1).version == 0)
    {
        send_write(w, std::move(proposal));
        return;
    }
    auto const document = json_from_text(rows.at(1).value);
    if (document.ok() && document->isObject() &&
        (*document)["attempt"] == Json::Value(proposal.write_id))
    {
        complete(w, proposal);
        return;
    }
    reject(w, proposal,
           configuration_head_from_text(rows.at(0).value).revision);
}

bool write_was_sent(configuration_proposal const &proposal)
{
    return proposal.step != proposal_step::reading_head;
}

void handle_failure(world &w, configuration_proposal proposal,
                    table_outcome outcome)
{
    // The first two operations are the read of the head and the first write.
    // Later ones follow a write that may have taken effect.
    bool const nothing_written =
        !write_was_sent(proposal) || (proposal.operations_sent <= 2 &&
                                      outcome == table_outcome::unavailable);
    if (nothing_written)
    {
        reply_to_operator(
            w, proposal.call, result_code::store_unavailable, w.config.revision,
            "the table service did not answer; nothing was written");
        return;
    }
    if (proposal.operations_sent >= max_operations)
    {
        reply_to_operator(
            w, proposal.call, result_code::outcome_unknown, w.config.revision,
            "the table service did not confirm whether revision " +
                std::to_string(proposal.next.revision.value()) +
                " was written");
        return;
    }
    send_result_read(w, std::move(proposal));
}

void handle_commit(world &w, configuration_proposal proposal,
                   table_reply const &reply)
{
    switch (proposal.step)
    {
    case proposal_step::reading_head:
        handle_head(w, std::move(proposal), reply.rows.at(0));
        return;
    case proposal_step::writing:
        complete(w, proposal);
        return;
    case proposal_step::reading_result:
        handle_result(w, std::move(proposal), reply.rows);
        return;
    }
}

void handle_reply(world &w, table_reply const &reply)
{
    auto &proposals = w.config_sync.proposals;
    auto const found = proposals.find(reply.operation);
    if (found == proposals.end())
    {
        return;
    }
    auto proposal = std::move(found->second);
    proposals.erase(found);
    switch (reply.outcome)
    {
    case table_outcome::committed:
        handle_commit(w, std::move(proposal), reply);
        return;
    case table_outcome::conflict:
        send_result_read(w, std::move(proposal));
        return;
    case table_outcome::unavailable:
    case table_outcome::unknown:
        handle_failure(w, std::move(proposal), reply.outcome);
        return;
    }
}

void expire_operations(world &w)
{
    auto &proposals = w.config_sync.proposals;
    std::vector<configuration_proposal> expired;
    std::erase_if(proposals,
                  [&](auto &item)
                  {
                      bool const is_expired =
                          w.now - item.second.sent_at >= call_timeout;
                      if (is_expired)
                      {
                          expired.push_back(std::move(item.second));
                      }
                      return is_expired;
                  });
    for (auto &proposal : expired)
    {
        handle_failure(w, std::move(proposal), table_outcome::unknown);
    }
}

} // namespace

bool propose_configuration(world &w, configuration next,
                           operator_call_number call)
{
    if (configuration_stale(w))
    {
        reply_to_operator(
            w, call, result_code::configuration_stale, w.config.revision,
            "the configuration revision in force has not been confirmed");
        return false;
    }
    if (next.revision != w.config.revision)
    {
        reply_to_operator(w, call, result_code::revision_conflict,
                          w.config.revision,
                          "the change is not based on the revision in force");
        return false;
    }
    next.revision = revision_number(next.revision.value() + 1);
    configuration_proposal proposal;
    proposal.call = call;
    proposal.index = split_configuration(next, proposal.documents);
    // Joined from the sections, so that the lists are in the same order here as
    // on the daemons that read the revision.
    proposal.next =
        join_configuration(proposal.index, proposal.documents).value();
    proposal.write_id = w.identity.name + ":" +
                        std::to_string(w.identity.incarnation.value()) +
                        ":config:" + std::to_string(w.last_operation + 1);
    send_head_read(w, std::move(proposal));
    return true;
}

void advance_proposals(world &w)
{
    for (auto const &reply : w.in.table_replies)
    {
        if (reply.owner == table_owner::operators)
        {
            handle_reply(w, reply);
        }
    }
    if (w.config_sync.proposals.empty())
    {
        return;
    }
    expire_operations(w);
    for (auto const &item : w.config_sync.proposals)
    {
        wake_at(w, item.second.sent_at + call_timeout);
    }
}

} // namespace agateledge
