#ifndef AGATELEDGE_COMPLETION_WRITER_HPP
#define AGATELEDGE_COMPLETION_WRITER_HPP

#include "model_request.hpp"
#include "result_code.hpp"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace agateledge
{

/// Writes the answer to one model request in the format of the OpenAI API, as
/// server-sent events or as one JSON document.
class completion_writer
{
public:
    /// @param kind endpoint whose format is written
    /// @param model model that the caller named
    /// @param created seconds since the Unix epoch
    completion_writer(completion_kind kind, std::string model,
                      std::int64_t created);

    /// Sets the id of the events that follow.
    void set_id(std::string id) { id_ = std::move(id); }
    std::string const &id() const { return id_; }

    /// @param offset tokens of the answer that the caller already has
    /// @return first event of the stream, which carries the request id
    std::string first_event(int offset) const;

    /// @param text text of the chunk
    /// @param end_offset tokens of the answer up to the end of the chunk
    /// @return event of one chunk
    std::string chunk_event(std::string const &text, int end_offset) const;

    /// @param reason "stop" or "length"
    /// @param end_offset tokens of the complete answer
    /// @return the event that ends the answer
    std::string end_event(char const *reason, int end_offset) const;

    /// @return event with the token usage and without choices
    std::string usage_event(int prompt_tokens, int output_tokens) const;

    /// @return the complete answer as one JSON document
    std::string document(std::string const &text, char const *reason,
                         int prompt_tokens, int output_tokens) const;

private:
    Json::Value envelope(char const *chat_object) const;
    Json::Value chunk_choice(std::string const &text) const;
    std::string event(Json::Value const &json, int end_offset) const;

    completion_kind kind_;
    std::string model_;
    std::int64_t created_;
    std::string id_;
};

/// Last event of every complete stream.
inline constexpr std::string_view done_event = "data: [DONE]\n\n";

/// @return JSON document with `code`, its number and whether it is certain that
///         the request was not executed
std::string error_document(result_code code, std::string_view message);

/// @return event that ends a stream whose answer is incomplete
std::string error_event(result_code code, std::string_view message);

} // namespace agateledge

#endif
