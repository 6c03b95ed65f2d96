#ifndef AGATELEDGE_REQUEST_FRAMING_HPP
#define AGATELEDGE_REQUEST_FRAMING_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace agateledge
{

/// Strict check of the framing of the requests on one connection. Bytes are
/// passed on once they are known to be well formed, so that a lenient parser
/// behind this one finds the same requests. The chunks that are received at
/// once are passed on as one, without extensions and trailers, because the
/// parser behind takes longer for each chunk than this one.
class request_framing
{
public:
    request_framing();
    ~request_framing();
    request_framing(request_framing const &) = delete;
    request_framing &operator=(request_framing const &) = delete;

    /// Checks received bytes. A head that is not valid is replaced by one that
    /// every HTTP parser refuses.
    ///
    /// @param bytes next bytes of the connection
    /// @param out receives the bytes that are passed on
    void add(std::string_view bytes, std::string &out);

    /// Ends the bytes of the connection. A head that is missing after an
    /// earlier request is replaced by one that every HTTP parser refuses:
    /// libsoup 3.2 never releases a connection that ends there, but releases it
    /// when it refuses a request.
    ///
    /// @param out receives the bytes that are passed on
    void end(std::string &out);

    /// @return number of bytes kept of a head, chunk header or trailer that is
    ///         not complete
    std::size_t unfinished_bytes() const
    {
        return head_.size() + pending_.size();
    }

    /// @return true while a body is being received
    bool in_body() const;

    /// @return true while a chunked body is being received
    bool in_chunks() const;

    /// @return true when the bytes of the connection are not valid requests;
    ///         nothing is passed on any more
    bool malformed() const { return malformed_; }

    /// @return true when the fault lies in the body of a request whose head was
    ///         passed on
    bool malformed_body() const { return malformed_body_; }

private:
    class message;

    std::size_t parse(std::string_view bytes, std::string &out);
    void pass_head(std::string_view text, std::string &out);
    void pass_body(std::string_view text, std::string &out);
    std::size_t skip_blank_lines(std::string_view bytes) const;
    void reject(std::string &out);

    std::unique_ptr<message> message_;
    /// Received bytes that the parser could not interpret yet.
    std::string pending_;
    /// Parsed bytes of a head that is not complete.
    std::string head_;
    bool passed_request_ = false;
    bool malformed_ = false;
    bool malformed_body_ = false;
};

} // namespace agateledge

#endif
