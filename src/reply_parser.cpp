#include "reply_parser.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace agateledge
{

namespace
{

namespace http = boost::beast::http;
using beast_error = boost::beast::error_code;
using beast_text = boost::beast::string_view;

/// Maximum size of all heads of a reply, and of the bytes that the parser must
/// see at once: a chunk header, or the trailers.
constexpr std::uint32_t max_head_bytes = std::uint32_t{100} * 1024;

/// Maximum number of interim heads (1xx) before the final one. Servers that
/// report progress send one every few seconds at most.
constexpr int max_interim_heads = 128;

/// Valid status codes (RFC 9110, section 15).
constexpr int first_status = 100;
constexpr int last_status = 599;

constexpr int first_final_status = 200;

std::string_view view_of(beast_text text)
{
    return {text.data(), text.size()};
}

} // namespace

/// One message: an interim reply or the final one.
class reply_parser::message final : public http::basic_parser<false>
{
public:
    message(bool head_request, hooks const &handlers) : handlers_(handlers)
    {
        eager(true);
        header_limit(max_head_bytes);
        body_limit(std::numeric_limits<std::uint64_t>::max());
        skip(head_request);
    }

    bool is_interim() const { return status_ < first_final_status; }

    bool has_body_bytes = false;

private:
    void on_request_impl(http::verb, beast_text, beast_text, int,
                         beast_error &) override
    {
    }

    void on_response_impl(int status, beast_text, int,
                          beast_error &error) override
    {
        status_ = status;
        if (status < first_status || status > last_status)
        {
            error = http::error::bad_status;
        }
    }

    void on_field_impl(http::field, beast_text name, beast_text value,
                       beast_error &) override
    {
        // Trailers are parsed but not reported.
        if (!is_header_done())
        {
            headers_.emplace_back(view_of(name), view_of(value));
        }
    }

    void on_header_impl(beast_error &) override
    {
        if (!is_interim() && handlers_.on_head)
        {
            handlers_.on_head(status_, std::move(headers_));
        }
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const &,
                           beast_error &) override
    {
    }

    std::size_t on_body_impl(beast_text bytes, beast_error &) override
    {
        return report(bytes);
    }

    void on_chunk_header_impl(std::uint64_t, beast_text, beast_error &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast_text bytes,
                                   beast_error &) override
    {
        return report(bytes);
    }

    void on_finish_impl(beast_error &) override {}

    std::size_t report(beast_text bytes)
    {
        has_body_bytes |= !bytes.empty();
        if (handlers_.on_body)
        {
            handlers_.on_body(view_of(bytes));
        }
        return bytes.size();
    }

    hooks const &handlers_;
    header_list headers_;
    int status_ = 0;
};

reply_parser::reply_parser(std::string_view method, hooks handlers)
    : head_request_(method == "HEAD"), handlers_(std::move(handlers))
{
    begin_message();
}

reply_parser::~reply_parser() = default;

void reply_parser::begin_message()
{
    message_ = std::make_unique<message>(head_request_, handlers_);
}

void reply_parser::skip_interim_head()
{
    if (++interim_heads_ > max_interim_heads)
    {
        progress_ = reply_progress::malformed;
        return;
    }
    begin_message();
}

std::size_t reply_parser::parse(std::string_view bytes)
{
    std::size_t parsed = 0;
    while (progress_ == reply_progress::incomplete && parsed < bytes.size())
    {
        bool const in_head = !message_->is_header_done();
        beast_error error;
        auto const count = message_->put(
            {bytes.data() + parsed, bytes.size() - parsed}, error);
        parsed += count;
        head_bytes_ += in_head ? count : 0;
        if (error == http::error::need_more)
        {
            break;
        }
        if (error)
        {
            progress_ = reply_progress::malformed;
        }
        else if (message_->is_done() && !message_->is_interim())
        {
            progress_ = reply_progress::complete;
        }
        else if (message_->is_done())
        {
            skip_interim_head();
        }
    }
    return parsed;
}

reply_progress reply_parser::add(std::string_view bytes)
{
    if (progress_ != reply_progress::incomplete)
    {
        pending_.append(bytes);
        return progress_;
    }
    if (pending_.empty())
    {
        pending_ = bytes.substr(parse(bytes));
    }
    else
    {
        pending_.append(bytes);
        pending_.erase(0, parse(pending_));
    }
    bool const too_long =
        pending_.size() > max_head_bytes ||
        (!message_->is_header_done() && head_bytes_ > max_head_bytes);
    if (progress_ == reply_progress::incomplete && too_long)
    {
        progress_ = reply_progress::malformed;
    }
    return progress_;
}

reply_progress reply_parser::end_of_input()
{
    if (progress_ != reply_progress::incomplete)
    {
        return progress_;
    }
    beast_error error = http::error::partial_message;
    // The end of a head without a body can be a head cut between two lines.
    if (message_->is_header_done() && message_->has_body_bytes)
    {
        message_->put_eof(error);
    }
    progress_ = error ? reply_progress::truncated : reply_progress::complete;
    return progress_;
}

void reply_parser::connection_failed()
{
    if (progress_ == reply_progress::incomplete)
    {
        progress_ = reply_progress::truncated;
    }
}

bool reply_parser::connection_is_reusable() const
{
    return progress_ == reply_progress::complete && pending_.empty() &&
           message_->keep_alive();
}

} // namespace agateledge
