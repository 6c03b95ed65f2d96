#include "model_request.hpp"

#include "json_text.hpp"
#include "result_code.hpp"

#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

/// Estimated bytes of prompt text per token.
constexpr std::size_t bytes_per_token = 4;
constexpr int default_output_tokens = 512;
constexpr int max_output_tokens = 65536;

/// Thrown for an invalid request body; caught by `parse_model_request`.
struct invalid_body
{
    std::string message;
};

std::string string_member(Json::Value const &json, char const *name)
{
    auto const &value = json[name];
    if (!value.isString() || value.asString().empty())
    {
        throw invalid_body{std::string("\"") + name +
                           "\" must be a non-empty string"};
    }
    return value.asString();
}

bool bool_member(Json::Value const &json, char const *name)
{
    auto const &value = json[name];
    if (value.isNull())
    {
        return false;
    }
    if (!value.isBool())
    {
        throw invalid_body{std::string("\"") + name + "\" must be a boolean"};
    }
    return value.asBool();
}

int output_tokens(Json::Value const &json)
{
    auto const &newer = json["max_completion_tokens"];
    auto const &value = newer.isNull() ? json["max_tokens"] : newer;
    if (value.isNull())
    {
        return default_output_tokens;
    }
    if (!value.isInt() || value.asInt() < 1 ||
        value.asInt() > max_output_tokens)
    {
        throw invalid_body{"\"max_tokens\" must be an integer from 1 to " +
                           std::to_string(max_output_tokens)};
    }
    return value.asInt();
}

std::string part_text(Json::Value const &part)
{
    if (!part.isObject() || !part["text"].isString())
    {
        throw invalid_body{"a content part must be an object with a \"text\""};
    }
    return part["text"].asString();
}

std::string content_text(Json::Value const &content)
{
    if (content.isString())
    {
        return content.asString();
    }
    if (!content.isArray())
    {
        throw invalid_body{"\"content\" must be a string or a list of parts"};
    }
    std::string text;
    std::ranges::for_each(content, [&text](Json::Value const &part)
                          { text += part_text(part); });
    return text;
}

std::string chat_prompt(Json::Value const &json)
{
    auto const &messages = json["messages"];
    if (!messages.isArray() || messages.empty())
    {
        throw invalid_body{"\"messages\" must be a non-empty list"};
    }
    std::string text;
    for (auto const &message : messages)
    {
        if (!message.isObject())
        {
            throw invalid_body{"a message must be an object"};
        }
        text += string_member(message, "role");
        text += ": ";
        text += content_text(message["content"]);
        text += "\n";
    }
    return text;
}

/// @return hash of each full block of the prompt; each hash also covers the
///         blocks before it
std::vector<std::uint64_t> hash_prefixes(std::string_view prompt,
                                         int block_tokens)
{
    auto const block_bytes = block_tokens * bytes_per_token;
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t i = 0; i + block_bytes <= prompt.size(); i += block_bytes)
    {
        previous =
            XXH3_64bits_withSeed(prompt.data() + i, block_bytes, previous);
        hashes.push_back(previous);
    }
    return hashes;
}

std::uint64_t seed_of(Json::Value const &json, std::string const &prompt,
                      std::string const &caller)
{
    auto const &seed = json["seed"];
    if (seed.isNull())
    {
        return XXH3_64bits_withSeed(prompt.data(), prompt.size(),
                                    XXH3_64bits(caller.data(), caller.size()));
    }
    if (!seed.isInt64() && !seed.isUInt64())
    {
        throw invalid_body{"\"seed\" must be an integer"};
    }
    return seed.isUInt64() ? seed.asUInt64()
                           : static_cast<std::uint64_t>(seed.asInt64());
}

bool include_usage_of(Json::Value const &json)
{
    auto const &options = json["stream_options"];
    return options.isObject() && bool_member(options, "include_usage");
}

void refuse_unsupported(Json::Value const &json)
{
    auto const &count = json["n"];
    if (!count.isNull() && (!count.isInt() || count.asInt() != 1))
    {
        throw invalid_body{"\"n\" must be 1"};
    }
}

model_request read_request(completion_kind kind, Json::Value const &json,
                           std::string const &caller)
{
    if (!json.isObject())
    {
        throw invalid_body{"the body must be a JSON object"};
    }
    refuse_unsupported(json);
    auto prompt = kind == completion_kind::chat ? chat_prompt(json)
                                                : string_member(json, "prompt");
    model_request request;
    auto &arrival = request.arrival;
    arrival.caller = caller;
    arrival.model = string_member(json, "model");
    arrival.max_output_tokens = output_tokens(json);
    arrival.prompt_tokens =
        std::max(1, static_cast<int>(prompt.size() / bytes_per_token));
    arrival.prefix_hashes = hash_prefixes(prompt, arrival.prefix_block_tokens);
    arrival.seed = seed_of(json, prompt, caller);
    arrival.method = "POST";
    arrival.body = std::make_shared<std::string const>(std::move(prompt));
    request.stream = bool_member(json, "stream");
    request.include_usage = include_usage_of(json);
    return request;
}

} // namespace

absl::StatusOr<model_request> parse_model_request(completion_kind kind,
                                                  std::string_view body,
                                                  std::string const &caller)
{
    auto const json = json_from_text(body);
    if (!json.ok())
    {
        return json.status();
    }
    try
    {
        return read_request(kind, *json, caller);
    }
    catch (invalid_body const &error)
    {
        return make_status(result_code::invalid_request, error.message);
    }
}

} // namespace agateledge
