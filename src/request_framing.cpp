#include "request_framing.hpp"

#include "absl/strings/str_cat.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace agateledge
{

namespace
{

namespace http = boost::beast::http;
using beast_error = boost::beast::error_code;
using beast_text = boost::beast::string_view;

/// Maximum size of a request line with its headers, and of the bytes that the
/// parser must see at once: a chunk header, or the trailers. Lower limits that
/// are answered with an error are enforced by the listeners.
constexpr std::uint32_t max_head_bytes = std::uint32_t{100} * 1024;

constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Replaces a head that is not valid.
constexpr std::string_view refused_head = "INVALID\r\n\r\n";

} // namespace

/// One request; only its framing is kept, and the content of chunks until it is
/// passed on.
class request_framing::message final : public http::basic_parser<true>
{
public:
    message()
    {
        // Parsing stops at the end of the head.
        eager(false);
        header_limit(max_head_bytes);
        body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    /// Passes the content of chunks on as one chunk.
    void pass_chunks(std::string &out)
    {
        if (chunks_.empty())
        {
            return;
        }
        absl::StrAppend(&out, absl::Hex(chunks_.size()), "\r\n", chunks_,
                        "\r\n");
        chunks_ = std::string();
    }

private:
    void on_request_impl(http::verb, beast_text, beast_text, int,
                         beast_error &) override
    {
    }
    void on_response_impl(int, beast_text, int, beast_error &) override {}
    void on_field_impl(http::field, beast_text, beast_text,
                       beast_error &) override
    {
    }
    void on_header_impl(beast_error &) override {}
    void on_body_init_impl(boost::optional<std::uint64_t> const &,
                           beast_error &) override
    {
    }
    std::size_t on_body_impl(beast_text bytes, beast_error &) override
    {
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast_text, beast_error &) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t, beast_text bytes,
                                   beast_error &) override
    {
        chunks_.append(bytes.data(), bytes.size());
        return bytes.size();
    }
    void on_finish_impl(beast_error &) override {}

    std::string chunks_;
};

request_framing::request_framing() : message_(std::make_unique<message>()) {}

request_framing::~request_framing() = default;

bool request_framing::in_body() const
{
    return message_->is_header_done();
}

bool request_framing::in_chunks() const
{
    return in_body() && message_->chunked();
}

std::size_t request_framing::skip_blank_lines(std::string_view bytes) const
{
    if (message_->got_some())
    {
        return 0;
    }
    return std::min(bytes.find_first_not_of("\r\n"), bytes.size());
}

void request_framing::reject(std::string &out)
{
    malformed_ = true;
    malformed_body_ = message_->is_header_done();
    if (!malformed_body_)
    {
        out += refused_head;
    }
}

std::size_t request_framing::parse(std::string_view bytes, std::string &out)
{
    std::size_t parsed = 0;
    while (!malformed_ && parsed < bytes.size())
    {
        // A request may follow an empty line (RFC 9112, section 2.2).
        parsed += skip_blank_lines(bytes.substr(parsed));
        if (parsed == bytes.size())
        {
            break;
        }
        beast_error error;
        bool const in_body = message_->is_header_done();
        auto const count = message_->put(
            {bytes.data() + parsed, bytes.size() - parsed}, error);
        auto const text = bytes.substr(parsed, count);
        parsed += count;
        bool const need_more = error == http::error::need_more;
        if (error && !need_more)
        {
            reject(out);
            break;
        }
        if (in_body)
        {
            pass_body(text, out);
        }
        else
        {
            pass_head(text, out);
        }
        if (need_more)
        {
            break;
        }
        if (message_->is_done())
        {
            message_ = std::make_unique<message>();
            passed_request_ = true;
        }
    }
    return parsed;
}

void request_framing::pass_head(std::string_view text, std::string &out)
{
    head_ += text;
    if (message_->is_header_done())
    {
        out += head_;
        head_ = std::string();
        message_->eager(true);
    }
}

void request_framing::pass_body(std::string_view text, std::string &out)
{
    if (!message_->chunked())
    {
        out += text;
        return;
    }
    message_->pass_chunks(out);
    if (message_->is_done())
    {
        out += last_chunk;
    }
}

void request_framing::end(std::string &out)
{
    if (!malformed_ && passed_request_ && !message_->is_header_done())
    {
        out += refused_head;
        passed_request_ = false;
    }
}

void request_framing::add(std::string_view bytes, std::string &out)
{
    if (malformed_)
    {
        return;
    }
    if (pending_.empty())
    {
        pending_ = bytes.substr(parse(bytes, out));
    }
    else
    {
        pending_.append(bytes);
        pending_.erase(0, parse(pending_, out));
    }
    if (!malformed_ && head_.size() + pending_.size() > max_head_bytes)
    {
        reject(out);
    }
}

} // namespace agateledge
