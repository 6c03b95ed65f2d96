#include "claim_calls.hpp"

#include "call_table.hpp"
#include "json_text.hpp"
#include "request_lifecycle.hpp"
#include "world.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace agateledge
{

namespace
{

std::string hex(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx",
                  static_cast<unsigned long long>(value));
    return text.data();
}

std::string hash_of(std::string const &text)
{
    auto const hash = XXH3_128bits(text.data(), text.size());
    return hex(hash.high64) + hex(hash.low64);
}

std::string claim_key(request_state const &request)
{
    auto const &arrival = request.arrival;
    return "claim/" + arrival.service + "/" + arrival.caller + "/" +
           hash_of(arrival.idempotency_key);
}

std::string fingerprint_of(request_arrival const &arrival)
{
    auto const body = arrival.body ? *arrival.body : std::string();
    return hash_of(arrival.method + "\n" + arrival.path + "\n" + body);
}

std::string attempt_id_of(world const &w, request_state const &request)
{
    return w.identity.name + ":" +
           std::to_string(w.identity.incarnation.value()) + ":" +
           std::to_string(request.arrival.request.value());
}

Json::Value claim_document(world const &w, request_state const &request)
{
    Json::Value row;
    row["attempt"] = attempt_id_of(w, request);
    row["fingerprint"] = fingerprint_of(request.arrival);
    row["state"] = "claimed";
    return row;
}

void write_outcome(world &w, request_state const &request,
                   Json::Value const &row)
{
    table_call call;
    call.conditions.push_back({claim_key(request), request.claim_row_version});
    call.puts.push_back({claim_key(request), json_to_text(row)});
    call_table(w, table_owner::claim, std::move(call));
}

void answer_from_row(world &w, request_state &request, Json::Value const &row)
{
    auto const number = request.arrival.request;
    if (row["fingerprint"].asString() != fingerprint_of(request.arrival))
    {
        refuse_request(w, number, result_code::idempotency_key_reused,
                       "the key was used with another body");
        return;
    }
    auto const state = row["state"].asString();
    if (state != "done")
    {
        bool const running = state == "claimed";
        refuse_request(w, number,
                       running ? result_code::in_progress
                               : result_code::outcome_unknown,
                       "a call with this key has no known outcome");
        return;
    }
    caller_reply reply;
    reply.request = number;
    reply.kind = caller_reply_kind::finished;
    reply.http_status = row["status"].asInt();
    reply.text = row["body"].asString();
    w.out.caller_replies.push_back(std::move(reply));
    finish_request(w, number);
}

void read_claim(world &w, claim_state claim)
{
    claim.step = claim_step::reading;
    table_call call;
    call.keys.push_back(claim.key);
    w.claims.add(call_table(w, table_owner::claim, std::move(call)), claim);
}

void take_claim(world &w, request_state &request, table_row const &row)
{
    request.claim_row_version = row.version;
    requeue_request(w, request);
}

void resolve_read(world &w, claim_state const &claim, request_state &request,
                  table_reply const &reply)
{
    if (reply.outcome != table_outcome::committed)
    {
        refuse_request(w, request.arrival.request,
                       result_code::store_unavailable,
                       "the table service does not answer");
        return;
    }
    if (reply.rows.empty() || reply.rows.front().version == 0)
    {
        begin_claim(w, request);
        return;
    }
    auto const row = json_from_text(reply.rows.front().value);
    if (row.ok() && (*row)["attempt"].asString() == claim.attempt_id)
    {
        take_claim(w, request, reply.rows.front());
        return;
    }
    answer_from_row(w, request, row.ok() ? *row : Json::Value());
}

void resolve_insert(world &w, claim_state const &claim, request_state &request,
                    table_reply const &reply)
{
    switch (reply.outcome)
    {
    case table_outcome::committed:
        take_claim(w, request, reply.rows.front());
        return;
    case table_outcome::conflict:
    case table_outcome::unknown:
        read_claim(w, claim);
        return;
    case table_outcome::unavailable:
        refuse_request(w, request.arrival.request,
                       result_code::store_unavailable,
                       "the table service does not answer");
        return;
    }
}

void resolve(world &w, table_reply const &reply)
{
    auto const claim = w.claims.take(reply.operation);
    if (reply.owner != table_owner::claim || !claim)
    {
        return;
    }
    auto *request = w.requests.find(claim->request);
    if (request == nullptr)
    {
        return;
    }
    if (claim->step == claim_step::inserting)
    {
        resolve_insert(w, *claim, *request, reply);
        return;
    }
    resolve_read(w, *claim, *request, reply);
}

} // namespace

void begin_claim(world &w, request_state &request)
{
    request.phase = request_phase::claiming;
    claim_state claim;
    claim.request = request.arrival.request;
    claim.key = claim_key(request);
    claim.attempt_id = attempt_id_of(w, request);
    table_call call;
    call.conditions.push_back({claim.key, 0});
    call.puts.push_back({claim.key, json_to_text(claim_document(w, request))});
    w.claims.add(call_table(w, table_owner::claim, std::move(call)), claim);
}

bool holds_claim(world const &w, request_state const &request)
{
    return w.faults.skip_claim || request.claim_row_version != 0;
}

void claim_calls(world &w)
{
    std::ranges::for_each(w.in.table_replies, [&w](table_reply const &reply)
                          { resolve(w, reply); });
}

void record_outcome(world &w, request_state &request, int http_status,
                    std::string const &body)
{
    auto row = claim_document(w, request);
    row["state"] = "done";
    row["status"] = http_status;
    row["body"] = body;
    write_outcome(w, request, row);
}

void record_unknown(world &w, request_state &request)
{
    auto row = claim_document(w, request);
    row["state"] = "unknown";
    write_outcome(w, request, row);
}

} // namespace agateledge
