#include "claim_row.hpp"

#include "inbox.hpp"
#include "json_text.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

namespace agateledge
{

namespace
{

constexpr std::array<std::string_view, 4> state_names{"claimed", "done",
                                                      "unknown", "not_run"};

constexpr int lowest_http_status = 100;
constexpr int highest_http_status = 599;

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

/// Throws `Json::Exception` when a member has a wrong type or is out of range.
///
/// @return the row, or nothing when its state is unknown or its status is not
///         an HTTP status
std::optional<claim_row> read_row(Json::Value const &document)
{
    auto const name = document["state"].asString();
    auto const state = std::ranges::find(state_names, name);
    if (state == state_names.end())
    {
        return std::nullopt;
    }
    claim_row row;
    row.attempt = document["attempt"].asString();
    row.fingerprint = document["fingerprint"].asString();
    row.state = static_cast<claim_row_state>(state - state_names.begin());
    row.http_status = document["status"].asInt();
    row.body = document["body"].asString();
    bool const valid = row.state != claim_row_state::done ||
                       (row.http_status >= lowest_http_status &&
                        row.http_status <= highest_http_status);
    return valid ? std::optional(std::move(row)) : std::nullopt;
}

} // namespace

std::string claim_key_of(request_arrival const &arrival)
{
    return "claim/" + arrival.service + "/" + arrival.caller + "/" +
           hash_of(arrival.idempotency_key);
}

std::string fingerprint_of(request_arrival const &arrival)
{
    auto const body = arrival.body ? *arrival.body : std::string();
    return hash_of(arrival.method + "\n" + arrival.path + "\n" + body);
}

std::string claim_row_to_text(claim_row const &row)
{
    Json::Value document;
    document["attempt"] = row.attempt;
    document["fingerprint"] = row.fingerprint;
    document["state"] =
        std::string(state_names.at(static_cast<std::size_t>(row.state)));
    if (row.state == claim_row_state::done)
    {
        document["status"] = row.http_status;
        document["body"] = row.body;
    }
    return json_to_text(document);
}

std::optional<claim_row> claim_row_from_text(std::string const &text)
{
    auto const document = json_from_text(text);
    if (!document.ok() || !document->isObject())
    {
        return std::nullopt;
    }
    try
    {
        return read_row(*document);
    }
    catch (Json::Exception const &)
    {
        return std::nullopt;
    }
}

} // namespace agateledge
