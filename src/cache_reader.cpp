#include "cache_reader.hpp"

#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "proxy_codec.hpp"

namespace agateledge
{

cache_reader::cache_reader(http_client &http, daemon_loop &loop,
                           proxy_codec const &codec)
    : http_(http), loop_(loop), codec_(codec)
{
}

void cache_reader::read(cache_read const &read)
{
    auto request = codec_.encode_cache_read(read);
    request.total_timeout = read.timeout;
    http_.send(request,
               [this, read](http_reply const &reply)
               {
                   loop_.input().cache_read_replies.push_back(
                       codec_.decode_cache_read(read, reply.answered_status(),
                                                reply.body));
               });
}

} // namespace agateledge
