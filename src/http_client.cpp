#include "http_client.hpp"

#include "block_text.hpp"
#include "choose_messages_to_drop.hpp"

#include "absl/strings/match.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace agateledge
{

/// Reply that is being collected.
struct http_client::collected_reply
{
    std::string address;
    http_reply reply;
    block_text body;
    bool has_length = false;
    std::function<void(http_reply const &)> on_reply;
    std::weak_ptr<http_call> call;
};

http_client::http_client(connection_reuse reuse,
                         std::size_t max_collected_bytes)
    : reuse_(reuse), max_collected_bytes_(max_collected_bytes)
{
}

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
    auto const item = std::make_shared<collected_reply>();
    item->address = request.address;
    item->on_reply = std::move(on_reply);
    collected_.insert(item);
    http_call_handlers handlers;
    handlers.on_head = [item](int status, header_list const &headers)
    {
        item->reply.status = status;
        item->reply.headers = headers;
        item->has_length = std::ranges::any_of(
            headers, [](auto const &header)
            { return absl::EqualsIgnoreCase(header.first, "Content-Length"); });
    };
    handlers.on_bytes = [this, item](std::string_view bytes)
    { collect(item, bytes); };
    handlers.on_end = [this, item](http_outcome outcome)
    { end(item, outcome); };
    item->call = open(request, std::move(handlers));
}

void http_client::collect(collected_ptr const &item, std::string_view bytes)
{
    auto &body = item->body;
    collected_bytes_ -= body.capacity();
    body.append(bytes);
    collected_bytes_ += body.capacity();
    if (body.size() > max_reply_bytes)
    {
        drop(item);
    }
    else if (collected_bytes_ > max_collected_bytes_)
    {
        drop_over_limit();
    }
}

void http_client::drop_over_limit()
{
    std::vector<collected_ptr> const items(collected_.begin(),
                                           collected_.end());
    std::vector<held_message> messages;
    std::ranges::transform(items, std::back_inserter(messages),
                           [](collected_ptr const &item)
                           {
                               return held_message{item->address,
                                                   item->body.capacity(),
                                                   item->has_length};
                           });
    std::ranges::for_each(
        choose_messages_to_drop(messages, max_collected_bytes_),
        [&](std::size_t index) { drop(items.at(index)); });
}

void http_client::drop(collected_ptr const &item)
{
    // Closes the connection at once, because the reply may be endless.
    if (auto const call = item->call.lock())
    {
        cancel(call);
    }
    collected_bytes_ -= item->body.capacity();
    item->body.clear();
    end(item, http_outcome::failed_after_send);
}

void http_client::end(collected_ptr const &item, http_outcome outcome)
{
    if (collected_.erase(item) == 0)
    {
        return;
    }
    collected_bytes_ -= item->body.capacity();
    item->reply.body = item->body.take();
    item->reply.outcome = outcome;
    item->on_reply(item->reply);
}

} // namespace agateledge
