#include "http_client.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Connections to all hosts and to one host. An engine stream holds its
/// connection for the whole answer.
constexpr int max_connections = 8192;
constexpr int max_connections_per_host = 1024;
/// Time after which a silent connection counts as broken.
constexpr guint io_timeout_seconds = 120;
constexpr guint idle_timeout_seconds = 30;

SoupSession *make_session()
{
    auto *session = soup_session_new_with_options(
        "max-conns", max_connections, "max-conns-per-host",
        max_connections_per_host, "timeout", io_timeout_seconds, "idle-timeout",
        idle_timeout_seconds, nullptr);
    soup_session_set_proxy_resolver(session, nullptr);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
    return session;
}

/// Collects the parts of one reply.
struct collector
{
    http_reply reply;
    std::function<void(http_reply const &)> on_reply;
    std::weak_ptr<http_call> call;
    bool too_long = false;

    void add(std::string_view bytes)
    {
        too_long |=
            reply.body.size() + bytes.size() > http_client::max_reply_bytes;
        if (!too_long)
        {
            reply.body.append(bytes);
        }
    }

    void end(http_outcome outcome)
    {
        reply.outcome = too_long ? http_outcome::failed_after_send : outcome;
        on_reply(reply);
    }
};

} // namespace

http_client::http_client() : session_(make_session()) {}

http_client::~http_client()
{
    std::ranges::for_each(open_, [](std::shared_ptr<http_call> const &call)
                          { call->cancel(); });
    soup_session_abort(session_.get());
}

std::shared_ptr<http_call> http_client::open(http_request const &request,
                                             http_call_handlers handlers)
{
    auto const self = std::make_shared<std::weak_ptr<http_call>>();
    auto on_end = std::move(handlers.on_end);
    handlers.on_end = [this, self, on_end](http_outcome outcome)
    {
        open_.erase(self->lock());
        if (on_end)
        {
            on_end(outcome);
        }
    };
    auto call = std::make_shared<http_call>(std::move(handlers));
    *self = call;
    open_.insert(call);
    call->start(session_.get(), request);
    return call;
}

void http_client::cancel(std::shared_ptr<http_call> const &call)
{
    call->cancel();
    open_.erase(call);
}

void http_client::send(http_request const &request,
                       std::function<void(http_reply const &)> on_reply)
{
    auto const parts = std::make_shared<collector>();
    parts->on_reply = std::move(on_reply);
    http_call_handlers handlers;
    handlers.on_status = [parts](int status) { parts->reply.status = status; };
    handlers.on_bytes = [parts](std::string_view bytes) { parts->add(bytes); };
    handlers.on_end = [parts](http_outcome outcome) { parts->end(outcome); };
    open(request, std::move(handlers));
}

} // namespace agateledge
