#ifndef AGATELEDGE_REPLY_PARSER_HPP
#define AGATELEDGE_REPLY_PARSER_HPP

#include "http_head.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agateledge
{

/// What is known about the end of an HTTP reply.
enum class reply_progress
{
    /// More bytes are needed.
    incomplete,
    /// The final reply was read to its end.
    complete,
    /// The connection was closed before the end of the reply.
    truncated,
    /// The bytes are not an HTTP reply.
    malformed,
};

/// Strict incremental parser of the reply to one HTTP request. Interim replies
/// (1xx) before the final one are skipped, up to a limit. The end of a body is
/// never inferred: it is its declared length, the last chunk with its trailers,
/// or, without either, the end of the connection.
class reply_parser
{
public:
    struct hooks
    {
        /// Status and headers of the final reply; before its body.
        std::function<void(int, header_list)> on_head;
        /// Part of the body.
        std::function<void(std::string_view)> on_body;
    };

    /// @param method method of the request, which decides whether the reply has
    ///        a body
    reply_parser(std::string_view method, hooks handlers);
    ~reply_parser();
    reply_parser(reply_parser const &) = delete;
    reply_parser &operator=(reply_parser const &) = delete;

    /// Parses bytes received from the connection. The first byte of a chunk
    /// size, for example, is not enough to tell whether the body is well
    /// formed; such bytes are kept, up to a limit.
    reply_progress add(std::string_view bytes);

    /// The connection was closed by the peer.
    reply_progress end_of_input();

    /// Ends the bytes by a failure of the connection: a reply that is not
    /// complete is truncated.
    void connection_failed();

    reply_progress progress() const { return progress_; }

    /// @return true when the reply is complete, nothing follows it, and its
    ///         connection may carry another request
    bool connection_is_reusable() const;

private:
    class message;

    std::size_t parse(std::string_view bytes);
    void begin_message();
    void skip_interim_head();

    bool head_request_;
    hooks handlers_;
    std::unique_ptr<message> message_;
    /// Received bytes that the parser could not interpret yet.
    std::string pending_;
    /// Bytes of all heads of the reply.
    std::size_t head_bytes_ = 0;
    int interim_heads_ = 0;
    reply_progress progress_ = reply_progress::incomplete;
};

} // namespace agateledge

#endif
