#include "propose_configuration.hpp"

#include "apply_configuration.hpp"
#include "call_table.hpp"
#include "configuration_head.hpp"
#include "configuration_json.hpp"
#include "json_text.hpp"
#include "world.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Writes and reads after which an unresolved proposal is given up.
constexpr int max_tries = 6;
constexpr duration call_timeout = seconds(2);

void reply_to(world &w, operator_call_number call, result_code code,
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
    ++proposal.tries;
    auto const operation =
        call_table(w, table_owner::operators, std::move(call));
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

std::string document_text(configuration_proposal const &proposal)
{
    auto document = *json_from_text(configuration_to_json(proposal.next));
    document["attempt"] = proposal.attempt;
    return json_to_text(document);
}

void send_write(world &w, configuration_proposal proposal)
{
    auto const &next = proposal.next;
    table_call call;
    call.conditions.push_back({configuration_head_key, proposal.head_version});
    call.conditions.push_back({revision_key(next.revision), 0});
    call.puts.push_back({configuration_head_key,
                         configuration_head_to_text(
                             {next.revision, next.author, proposal.attempt})});
    call.puts.push_back({revision_key(next.revision), document_text(proposal)});
    send(w, std::move(proposal), proposal_step::writing, std::move(call));
}

void accept(world &w, configuration_proposal const &proposal)
{
    if (put_in_force(w, proposal.next))
    {
        confirm_revision(w, proposal.sent_at);
    }
    reply_to(w, proposal.call, result_code::ok, proposal.next.revision, "");
}

void refuse(world &w, configuration_proposal const &proposal,
            revision_number current)
{
    reply_to(w, proposal.call, result_code::revision_conflict, current,
             "another change was made first; the current revision is " +
                 std::to_string(current.value()));
}

void take_head(world &w, configuration_proposal proposal, table_row const &row)
{
    auto const head = configuration_head_from_text(row.value);
    if (head.revision.value() + 1 != proposal.next.revision.value())
    {
        refuse(w, proposal, head.revision);
        return;
    }
    proposal.head_version = row.version;
    send_write(w, std::move(proposal));
}

/// The row of the new revision tells whose write took effect. As long as it is
/// absent, the write is sent again: its condition lets it take effect once.
void take_result(world &w, configuration_proposal proposal,
                 std::vector<table_row> const &rows)
{
    if (rows.at(1).version == 0)
    {
        send_write(w, std::move(proposal));
        return;
    }
    auto const document = json_from_text(rows.at(1).value);
    if (document.ok() && document->isObject() &&
        (*document)["attempt"] == Json::Value(proposal.attempt))
    {
        accept(w, proposal);
        return;
    }
    refuse(w, proposal,
           configuration_head_from_text(rows.at(0).value).revision);
}

bool may_be_written(configuration_proposal const &proposal)
{
    return proposal.step != proposal_step::reading_head;
}

void take_failure(world &w, configuration_proposal proposal,
                  table_outcome outcome)
{
    bool const nothing_written =
        !may_be_written(proposal) ||
        (proposal.tries <= 2 && outcome == table_outcome::unavailable);
    if (nothing_written)
    {
        reply_to(w, proposal.call, result_code::store_unavailable,
                 w.config.revision, "the table service does not answer");
        return;
    }
    if (proposal.tries >= max_tries)
    {
        reply_to(w, proposal.call, result_code::outcome_unknown,
                 w.config.revision,
                 "the table service does not tell whether revision " +
                     std::to_string(proposal.next.revision.value()) +
                     " was written");
        return;
    }
    send_result_read(w, std::move(proposal));
}

void take_commit(world &w, configuration_proposal proposal,
                 table_reply const &reply)
{
    switch (proposal.step)
    {
    case proposal_step::reading_head:
        take_head(w, std::move(proposal), reply.rows.at(0));
        return;
    case proposal_step::writing:
        accept(w, proposal);
        return;
    case proposal_step::reading_result:
        take_result(w, std::move(proposal), reply.rows);
        return;
    }
}

void take_reply(world &w, table_reply const &reply)
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
        take_commit(w, std::move(proposal), reply);
        return;
    case table_outcome::conflict:
        send_result_read(w, std::move(proposal));
        return;
    case table_outcome::unavailable:
    case table_outcome::unknown:
        take_failure(w, std::move(proposal), reply.outcome);
        return;
    }
}

void expire_calls(world &w)
{
    auto &proposals = w.config_sync.proposals;
    std::vector<configuration_proposal> late;
    std::erase_if(proposals,
                  [&](auto &item)
                  {
                      bool const is_late =
                          w.now - item.second.sent_at >= call_timeout;
                      if (is_late)
                      {
                          late.push_back(std::move(item.second));
                      }
                      return is_late;
                  });
    for (auto &proposal : late)
    {
        take_failure(w, std::move(proposal), table_outcome::unknown);
    }
}

} // namespace

bool propose_configuration(world &w, configuration next,
                           operator_call_number call)
{
    if (configuration_stale(w))
    {
        reply_to(w, call, result_code::configuration_stale, w.config.revision,
                 "the revision in force is not confirmed");
        return false;
    }
    if (next.revision != w.config.revision)
    {
        reply_to(w, call, result_code::revision_conflict, w.config.revision,
                 "the change was made from another revision");
        return false;
    }
    next.revision = revision_number(next.revision.value() + 1);
    configuration_proposal proposal;
    proposal.call = call;
    proposal.next = std::move(next);
    proposal.attempt = w.identity.name + ":" +
                       std::to_string(w.identity.incarnation.value()) +
                       ":config:" + std::to_string(w.last_operation + 1);
    send_head_read(w, std::move(proposal));
    return true;
}

void follow_proposals(world &w)
{
    for (auto const &reply : w.in.table_replies)
    {
        if (reply.owner == table_owner::operators)
        {
            take_reply(w, reply);
        }
    }
    if (w.config_sync.proposals.empty())
    {
        return;
    }
    expire_calls(w);
    for (auto const &item : w.config_sync.proposals)
    {
        wake_at(w, item.second.sent_at + call_timeout);
    }
}

} // namespace agateledge
