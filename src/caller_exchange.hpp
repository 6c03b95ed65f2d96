#ifndef AGATELEDGE_CALLER_EXCHANGE_HPP
#define AGATELEDGE_CALLER_EXCHANGE_HPP

#include "completion_writer.hpp"
#include "gobject_ptr.hpp"
#include "ids.hpp"
#include "outbox.hpp"

#include <libsoup/soup.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

/// How the answer to one caller is written.
struct answer_shape
{
    /// Set for a model request.
    std::optional<completion_writer> writer;
    bool stream = false;
    bool include_usage = false;
    int prompt_tokens = 0;
    int max_output_tokens = 0;
};

/// One HTTP exchange with a caller, from the headers of the request to the end
/// of the answer.
class caller_exchange
{
public:
    explicit caller_exchange(SoupServerMessage *message);

    SoupServerMessage *message() const { return message_.get(); }

    /// Name of the authenticated caller.
    std::string caller;
    /// Number of the request; 0 before it is given to the systems.
    request_number request;
    /// Bytes of the body that have arrived.
    std::int64_t body_bytes = 0;
    /// Key of the engine's stream that feeds the answer.
    std::string stream_key;
    /// True while the caller reads too slowly and the stream is held.
    bool held = false;

    /// Waits for the systems: the message is paused until `reply`.
    void await_answer(answer_shape shape);

    /// Answers with an error, or ends a stream that has begun with one.
    void refuse(result_code code, std::string_view message);

    /// Answers with an error under a status other than that of `code`.
    void refuse_with_status(int status, result_code code,
                            std::string_view message);

    /// Writes what the systems answered.
    ///
    /// @param reply reply to this request
    /// @param id signed id of the request, with `accepted`
    void reply(caller_reply const &reply, std::string const &id);

    /// Counts bytes that were written to the connection.
    void wrote(std::int64_t bytes);

    /// @return answer bytes that wait for the caller to read
    std::int64_t buffered_bytes() const { return buffered_; }

    /// @return true once the whole answer has been given to the connection
    bool answered() const { return answered_; }

    /// @return true while the systems work on the request
    bool open() const { return request.value() != 0 && !answered_; }

private:
    void begin_stream(std::string const &id, int offset);
    void write(std::string_view text);
    void write_chunk(caller_reply const &reply);
    void finish_completion(caller_reply const &reply);
    void finish_service(caller_reply const &reply);
    void answer(int status, std::string_view type, std::string_view body);
    void complete();

    gobject_ptr<SoupServerMessage> message_;
    answer_shape shape_;
    std::string text_;
    int tokens_ = 0;
    std::int64_t buffered_ = 0;
    bool paused_ = false;
    bool streaming_ = false;
    bool answered_ = false;
};

} // namespace agateledge

#endif
