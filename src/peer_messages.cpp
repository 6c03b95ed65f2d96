#include "peer_messages.hpp"

#include "json_slices.hpp"
#include "json_text.hpp"
#include "result_code.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Maximum length of a list in a message, far above what a peer sends.
constexpr Json::ArrayIndex max_items = 100000;

/// Ages are clamped to one day, so that subtracting them from a time cannot
/// overflow.
constexpr std::int64_t max_age_us = std::int64_t{86400} * 1000000;

template <class Item, class Convert>
Json::Value list_to_json(std::vector<Item> const &items, Convert convert)
{
    Json::Value out(Json::arrayValue);
    std::ranges::for_each(items,
                          [&](Item const &item) { out.append(convert(item)); });
    return out;
}

template <class Convert>
auto list_from(Json::Value const &in, Convert convert)
{
    std::vector<decltype(convert(in))> out;
    if (!in.isArray() || in.size() > max_items)
    {
        Json::throwRuntimeError("not an array, or more than 100000 items");
    }
    std::transform(in.begin(), in.end(), std::back_inserter(out), convert);
    return out;
}

int count_from(Json::Value const &in)
{
    auto const value = in.asInt();
    if (value < 0)
    {
        Json::throwRuntimeError("negative count");
    }
    return value;
}

std::int64_t age_from(Json::Value const &in)
{
    return std::clamp<std::int64_t>(in.asInt64(), 0, max_age_us);
}

/// @return the age, or -1 when it is unknown
std::int64_t optional_age_from(Json::Value const &in)
{
    return in.asInt64() < 0 ? -1 : age_from(in);
}

Json::Value share_to_json(engine_share const &share)
{
    Json::Value out;
    out["engine"] = share.engine;
    out["requests"] = share.requests;
    out["prefill_tokens"] = share.prefill_tokens;
    out["decode_requests"] = share.decode_requests;
    return out;
}

engine_share share_from(Json::Value const &in)
{
    return {in["engine"].asString(), count_from(in["requests"]),
            count_from(in["prefill_tokens"]),
            count_from(in["decode_requests"])};
}

Json::Value demand_to_json(caller_demand const &demand)
{
    Json::Value out;
    out["caller"] = demand.caller;
    out["class"] = demand.class_name;
    out["rate"] = demand.requests_per_second;
    return out;
}

caller_demand demand_from(Json::Value const &in)
{
    return {in["caller"].asString(), in["class"].asString(),
            std::max(0.0, in["rate"].asDouble())};
}

Json::Value change_to_json(engine_change const &change)
{
    Json::Value out;
    out["engine"] = change.engine;
    out["generation"] = Json::UInt64(change.generation);
    out["age_us"] = Json::Int64(change.age_us);
    return out;
}

engine_change change_from(Json::Value const &in)
{
    return {in["engine"].asString(), in["generation"].asUInt64(),
            age_from(in["age_us"])};
}

heartbeat read_heartbeat(Json::Value const &in)
{
    heartbeat out;
    out.from = in["from"].asString();
    out.incarnation = incarnation_number(in["incarnation"].asUInt64());
    out.data_centre = in["data_centre"].asString();
    out.address = in["address"].asString();
    out.sequence = in["sequence"].asUInt64();
    out.answered_sequence = in["answers"].asUInt64();
    out.revision = revision_number(in["revision"].asUInt64());
    out.revision_age_us = optional_age_from(in["revision_age_us"]);
    out.draining = in["draining"].asBool();
    out.shares = list_from(in["shares"], share_from);
    out.demand = list_from(in["demand"], demand_from);
    out.changes = list_from(in["changes"], change_from);
    return out;
}

configuration_document read_configuration_reply(Json::Value const &in)
{
    configuration_document out;
    out.from = in["from"].asString();
    out.document = in["document"].asString();
    out.revision_age_us = optional_age_from(in["revision_age_us"]);
    return out;
}

/// @return the host, or nothing when a member has a wrong type
std::optional<host_entry> host_from(Json::Value const &in)
{
    try
    {
        return host_entry{in["name"].asString(), in["data_centre"].asString(),
                          in["address"].asString(), in["leaving"].asBool(),
                          in["entry"].asBool()};
    }
    catch (Json::Exception const &)
    {
        return std::nullopt;
    }
}

/// Reads each host by itself: an entry of another writer that cannot be read,
/// or that the parser refuses, hides no other.
///
/// @return nothing when `text` is no list, or has hosts but none is readable
std::optional<membership_report> read_hosts(std::string_view text)
{
    auto const entries = json_elements(text);
    if (!entries || entries->size() > max_items)
    {
        return std::nullopt;
    }
    membership_report out;
    for (auto const entry : *entries)
    {
        auto const in = json_from_text(entry);
        auto host = in.ok() ? host_from(*in) : std::nullopt;
        if (host)
        {
            out.hosts.push_back(*std::move(host));
        }
    }
    return out.hosts.empty() && !entries->empty() ? std::nullopt
                                                  : std::optional(out);
}

/// Parses a JSON document and converts it with `read`.
///
/// @param what name of the document for the error message
/// @return `invalid_request` when the document is malformed
template <class Read>
auto read_document(std::string const &text, char const *what, Read read)
    -> absl::StatusOr<decltype(read(Json::Value()))>
{
    auto const in = json_from_text(text);
    if (!in.ok())
    {
        return in.status();
    }
    try
    {
        return read(*in);
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::invalid_request,
                           std::string(what) + ": " + error.what());
    }
}

} // namespace

std::string heartbeat_to_text(heartbeat const &message)
{
    Json::Value out;
    out["from"] = message.from;
    out["incarnation"] = Json::UInt64(message.incarnation.value());
    out["data_centre"] = message.data_centre;
    out["address"] = message.address;
    out["sequence"] = Json::UInt64(message.sequence);
    out["answers"] = Json::UInt64(message.answered_sequence);
    out["revision"] = Json::UInt64(message.revision.value());
    out["revision_age_us"] = Json::Int64(message.revision_age_us);
    out["draining"] = message.draining;
    out["shares"] = list_to_json(message.shares, share_to_json);
    out["demand"] = list_to_json(message.demand, demand_to_json);
    out["changes"] = list_to_json(message.changes, change_to_json);
    return json_to_text(out);
}

absl::StatusOr<heartbeat> heartbeat_from_text(std::string const &text)
{
    return read_document(text, "heartbeat", read_heartbeat);
}

std::string configuration_reply_to_text(configuration_document const &document)
{
    Json::Value out;
    out["from"] = document.from;
    out["document"] = document.document;
    out["revision_age_us"] = Json::Int64(document.revision_age_us);
    return json_to_text(out);
}

absl::StatusOr<configuration_document>
configuration_reply_from_text(std::string const &text)
{
    return read_document(text, "configuration reply", read_configuration_reply);
}

absl::StatusOr<membership_report>
membership_report_from_text(std::string const &text)
{
    auto const list = json_member(text, "hosts");
    auto const report = list ? read_hosts(*list) : std::nullopt;
    return report ? absl::StatusOr<membership_report>(*report)
                  : make_status(result_code::invalid_request,
                                "not a list of readable hosts");
}

} // namespace agateledge
