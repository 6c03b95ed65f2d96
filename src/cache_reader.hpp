#ifndef AGATELEDGE_CACHE_READER_HPP
#define AGATELEDGE_CACHE_READER_HPP

#include "cache_messages.hpp"

namespace agateledge
{

class daemon_loop;
class http_client;
struct proxy_codec;

/// Client that reads the cache changes of engines.
class cache_reader
{
public:
    /// @param http client for the calls; must outlive this object
    /// @param loop receives the replies; must outlive this object
    /// @param codec encodes calls and decodes replies; must outlive this object
    cache_reader(http_client &http, daemon_loop &loop,
                 proxy_codec const &codec);

    /// Starts a read; its reply is added to the inbox of the loop.
    void read(cache_read const &read);

private:
    http_client &http_;
    daemon_loop &loop_;
    proxy_codec const &codec_;
};

} // namespace agateledge

#endif
