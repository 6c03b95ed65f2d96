#include "request_head.hpp"

#include "http_call.hpp"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>
#include <string_view>

namespace agateledge
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned http_1_1 = 11;

boost::beast::string_view beast_text(std::string_view text)
{
    return {text.data(), text.size()};
}

/// @return true when `text` contains neither blanks nor control characters
bool is_one_word(std::string_view text)
{
    constexpr unsigned char blank = ' ';
    constexpr unsigned char del = 0x7f;
    return !text.empty() &&
           std::ranges::all_of(text, [](unsigned char c)
                               { return c > blank && c != del; });
}

bool is_one_line(std::string_view text)
{
    constexpr std::string_view line_ends("\r\n\0", 3);
    return text.find_first_of(line_ends) == std::string_view::npos;
}

bool is_header(std::pair<std::string, std::string> const &header)
{
    return is_one_word(header.first) &&
           header.first.find(':') == std::string::npos &&
           is_one_line(header.second);
}

} // namespace

std::optional<std::string> request_head_of(http_request const &request)
{
    if (!is_one_word(request.method) || !is_one_word(request.path) ||
        !is_one_line(request.content_type) ||
        !std::ranges::all_of(request.headers, is_header))
    {
        return std::nullopt;
    }
    http::request<http::empty_body> message;
    message.version(http_1_1);
    message.method_string(beast_text(request.method));
    message.target(beast_text(request.path));
    message.set(http::field::host, beast_text(request.address));
    if (request.body && !request.content_type.empty())
    {
        message.set(http::field::content_type,
                    beast_text(request.content_type));
    }
    std::ranges::for_each(request.headers, [&message](auto const &header)
                          { message.erase(beast_text(header.first)); });
    std::ranges::for_each(request.headers,
                          [&message](auto const &header) {
                              message.insert(beast_text(header.first),
                                             beast_text(header.second));
                          });
    if (request.body || request.method == "POST" || request.method == "PUT")
    {
        message.set(http::field::content_length,
                    std::to_string(request.body ? request.body->size() : 0));
    }
    std::ostringstream out;
    out << message.base();
    return out.str();
}

} // namespace agateledge
