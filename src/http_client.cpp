#include "http_client.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Maximum number of concurrent calls per session; see `pooled_session`.
constexpr std::size_t max_calls_per_session = 32;
/// Time for which an idle connection is kept open. Connections that are not
/// reused get the shortest time that libsoup supports.
constexpr guint keep_alive_seconds = 30;
constexpr guint single_call_idle_seconds = 1;
/// Time without data after which a connection counts as broken.
constexpr guint io_timeout_seconds = 120;

SoupSession *make_session(connection_reuse reuse)
{
    auto const idle_seconds = reuse == connection_reuse::keep_alive
                                  ? keep_alive_seconds
                                  : single_call_idle_seconds;
    auto *session = soup_session_new_with_options(
        "max-conns", static_cast<int>(max_calls_per_session),
        "max-conns-per-host", static_cast<int>(max_calls_per_session),
        "timeout", io_timeout_seconds, "idle-timeout", idle_seconds, nullptr);
    soup_session_set_proxy_resolver(session, nullptr);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
    return session;
}

/// Collects the body of one reply.
struct collector
{
    http_reply reply;
    std::function<void(http_reply const &)> on_reply;
    std::weak_ptr<http_call> call;

    /// @return false when the reply exceeds `http_client::max_reply_bytes`
    bool add(std::string_view bytes)
    {
        if (reply.body.size() + bytes.size() > http_client::max_reply_bytes)
        {
            return false;
        }
        reply.body.append(bytes);
        return true;
    }

    void end(http_outcome outcome)
    {
        reply.outcome = outcome;
        on_reply(reply);
    }
};

} // namespace

http_client::http_client(connection_reuse reuse) : reuse_(reuse) {}

http_client::~http_client()
{
    for (auto const &[call, session] : open_calls_)
    {
        call->cancel();
    }
    for (auto const &[address, sessions] : sessions_)
    {
        std::ranges::for_each(sessions,
                              [](std::shared_ptr<pooled_session> const &item)
                              { soup_session_abort(item->session.get()); });
    }
}

std::shared_ptr<http_client::pooled_session> const &
http_client::session_for(std::string const &address)
{
    auto &sessions =
        sessions_[reuse_ == connection_reuse::keep_alive ? address
                                                         : std::string()];
    auto const available = std::ranges::find_if(
        sessions, [](std::shared_ptr<pooled_session> const &item)
        { return item->open < max_calls_per_session; });
    if (available != sessions.end())
    {
        return *available;
    }
    auto created = std::make_shared<pooled_session>();
    created->session.reset(make_session(reuse_));
    return sessions.emplace_back(std::move(created));
}

void http_client::release(std::shared_ptr<http_call> const &call)
{
    auto const found = open_calls_.find(call);
    if (found != open_calls_.end())
    {
        --found->second->open;
        open_calls_.erase(found);
    }
}

std::shared_ptr<http_call> http_client::open(http_request const &request,
                                             http_call_handlers handlers)
{
    auto const self = std::make_shared<std::weak_ptr<http_call>>();
    auto on_end = std::move(handlers.on_end);
    handlers.on_end = [this, self, on_end](http_outcome outcome)
    {
        release(self->lock());
        if (on_end)
        {
            on_end(outcome);
        }
    };
    auto call = std::make_shared<http_call>(std::move(handlers));
    *self = call;
    auto const &session = session_for(request.address);
    ++session->open;
    open_calls_.emplace(call, session);
    call->start(session->session.get(), request);
    return call;
}

void http_client::cancel(std::shared_ptr<http_call> const &call)
{
    call->cancel();
    release(call);
}

void http_client::send(http_request const &request,
                       std::function<void(http_reply const &)> on_reply)
{
    auto const collected = std::make_shared<collector>();
    collected->on_reply = std::move(on_reply);
    http_call_handlers handlers;
    handlers.on_head = [collected](int status, SoupMessageHeaders *)
    { collected->reply.status = status; };
    handlers.on_bytes = [this, collected](std::string_view bytes)
    {
        // Closes the connection at once, because the reply may be endless.
        if (!collected->add(bytes))
        {
            cancel(collected->call.lock());
            collected->end(http_outcome::failed_after_send);
        }
    };
    handlers.on_end = [collected](http_outcome outcome)
    { collected->end(outcome); };
    collected->call = open(request, std::move(handlers));
}

} // namespace agateledge
