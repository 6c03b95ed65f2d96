#ifndef AGATELEDGE_CALLER_EXCHANGE_HPP
#define AGATELEDGE_CALLER_EXCHANGE_HPP

#include "completion_writer.hpp"
#include "gobject_ptr.hpp"
#include "ids.hpp"
#include "outbox.hpp"
#include "time.hpp"

#include <libsoup/soup.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace agateledge
{

/// Format of the answer to one request.
struct answer_format
{
    /// Set for a model request only.
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
    /// Number of the request; 0 until the request is submitted to the daemon.
    request_number request;
    /// Earliest time at which the request can have reached the daemon.
    instant received_at{};
    /// Bytes of the request body received so far.
    std::int64_t body_bytes = 0;
    /// Key of the engine stream that the answer is read from.
    std::string stream_key;
    /// True while the caller reads too slowly and reading from the engine
    /// stream is paused.
    bool stalled = false;

    /// Pauses the message until `reply` is called.
    void await_answer(answer_format format);

    /// Answers with an error. A stream that has begun ends with an error event.
    void refuse(result_code code, std::string_view message);

    /// Answers with an error under a status other than that of `code`.
    void refuse_with_status(int status, result_code code,
                            std::string_view message);

    /// Applies a reply of the daemon. Events of a stream are buffered until
    /// `flush`.
    ///
    /// @param reply reply to this request
    /// @param id signed id of the request; used by `accepted` replies only
    void reply(caller_reply const &reply, std::string const &id);

    /// Passes the buffered events of a stream to the connection.
    void flush();

    /// Subtracts bytes that were written to the connection from
    /// `unread_bytes`.
    void record_written(std::int64_t bytes);

    /// @return bytes of the answer that are not yet written to the connection
    std::int64_t unread_bytes() const { return buffered_bytes_; }

    /// @return true once the complete answer has been produced
    bool answered() const { return answered_; }

    /// @return true while the daemon works on the request
    bool open() const { return request.value() != 0 && !answered_; }

private:
    void begin_stream(std::string const &id, int offset);
    void write(std::string_view text);
    void write_chunk(caller_reply const &reply);
    void finish_completion(caller_reply const &reply);
    void finish_service(caller_reply const &reply);
    void answer(int status, std::string_view type, std::string_view body);

    gobject_ptr<SoupServerMessage> message_;
    answer_format format_;
    /// Text of an answer that is sent as one document.
    std::string collected_text_;
    /// Events that `flush` has yet to write.
    std::string pending_events_;
    int output_tokens_ = 0;
    std::int64_t buffered_bytes_ = 0;
    bool paused_ = false;
    bool streaming_ = false;
    bool answered_ = false;
};

} // namespace agateledge

#endif
