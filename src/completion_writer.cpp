#include "completion_writer.hpp"

#include "json_text.hpp"

#include <utility>

namespace agateledge
{

namespace
{

Json::Value usage(int prompt_tokens, int output_tokens)
{
    Json::Value json;
    json["prompt_tokens"] = prompt_tokens;
    json["completion_tokens"] = output_tokens;
    json["total_tokens"] = prompt_tokens + output_tokens;
    return json;
}

} // namespace

completion_writer::completion_writer(completion_kind kind, std::string model,
                                     std::int64_t created)
    : kind_(kind), model_(std::move(model)), created_(created)
{
}

Json::Value completion_writer::envelope(char const *chat_object) const
{
    Json::Value json;
    json["id"] = id_;
    json["object"] =
        kind_ == completion_kind::chat ? chat_object : "text_completion";
    json["created"] = Json::Int64(created_);
    json["model"] = model_;
    json["choices"] = Json::arrayValue;
    return json;
}

Json::Value completion_writer::chunk_choice(std::string const &text) const
{
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = Json::nullValue;
    if (kind_ == completion_kind::chat)
    {
        choice["delta"]["content"] = text;
        return choice;
    }
    choice["text"] = text;
    return choice;
}

std::string completion_writer::event(Json::Value const &json,
                                     int end_offset) const
{
    return "id: " + id_ + ":" + std::to_string(end_offset) +
           "\ndata: " + json_to_text(json) + "\n\n";
}

std::string completion_writer::first_event(int offset) const
{
    auto json = envelope("chat.completion.chunk");
    auto choice = chunk_choice("");
    if (kind_ == completion_kind::chat)
    {
        choice["delta"]["role"] = "assistant";
    }
    json["choices"].append(std::move(choice));
    return event(json, offset);
}

std::string completion_writer::chunk_event(std::string const &text,
                                           int end_offset) const
{
    auto json = envelope("chat.completion.chunk");
    json["choices"].append(chunk_choice(text));
    return event(json, end_offset);
}

std::string completion_writer::end_event(char const *reason,
                                         int end_offset) const
{
    auto json = envelope("chat.completion.chunk");
    auto choice = chunk_choice("");
    choice["finish_reason"] = reason;
    json["choices"].append(std::move(choice));
    return event(json, end_offset);
}

std::string completion_writer::usage_event(int prompt_tokens,
                                           int output_tokens) const
{
    auto json = envelope("chat.completion.chunk");
    json["usage"] = usage(prompt_tokens, output_tokens);
    return event(json, output_tokens);
}

std::string completion_writer::document(std::string const &text,
                                        char const *reason, int prompt_tokens,
                                        int output_tokens) const
{
    auto json = envelope("chat.completion");
    Json::Value choice;
    choice["index"] = 0;
    choice["finish_reason"] = reason;
    if (kind_ == completion_kind::chat)
    {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = text;
    }
    else
    {
        choice["text"] = text;
    }
    json["choices"].append(std::move(choice));
    json["usage"] = usage(prompt_tokens, output_tokens);
    return json_to_text(json);
}

std::string error_document(result_code code, std::string_view message)
{
    Json::Value json;
    auto &error = json["error"];
    error["code"] = std::string(name_of(code));
    error["number"] = static_cast<int>(code);
    error["message"] = std::string(message);
    error["not_run"] = guarantees_not_run(code);
    return json_to_text(json);
}

std::string error_event(result_code code, std::string_view message)
{
    return "data: " + error_document(code, message) + "\n\n";
}

} // namespace agateledge
