#include "http_client.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

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
    std::ranges::for_each(open_calls_,
                          [](std::shared_ptr<http_call> const &call)
                          { call->cancel(); });
}

std::shared_ptr<http_call> http_client::open(http_request const &request,
                                             http_call_handlers handlers)
{
    auto const self = std::make_shared<std::weak_ptr<http_call>>();
    auto on_end = std::move(handlers.on_end);
    handlers.on_end = [this, self, on_end](http_outcome outcome)
    {
        open_calls_.erase(self->lock());
        if (on_end)
        {
            on_end(outcome);
        }
    };
    auto call = std::make_shared<http_call>(std::move(handlers));
    *self = call;
    open_calls_.insert(call);
    auto own = request;
    own.new_connection |= reuse_ == connection_reuse::single_call;
    call->start(kept_, own);
    return call;
}

void http_client::cancel(std::shared_ptr<http_call> const &call)
{
    call->cancel();
    open_calls_.erase(call);
}

void http_client::send(http_request const &request,
                       std::function<void(http_reply const &)> on_reply)
{
    auto const collected = std::make_shared<collector>();
    collected->on_reply = std::move(on_reply);
    http_call_handlers handlers;
    handlers.on_head = [collected](int status, header_list const &)
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
