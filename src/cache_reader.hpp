#ifndef AGATELEDGE_CACHE_READER_HPP
#define AGATELEDGE_CACHE_READER_HPP

#include "cache_messages.hpp"

namespace agateledge
{

class daemon_loop;
class http_client;
struct relay_codec;

/// Reads the cache changes of engines.
class cache_reader
{
public:
    /// @param http makes the calls; outlives this
    /// @param loop takes the replies; outlives this
    /// @param codec encodes calls and decodes replies; outlives this
    cache_reader(http_client &http, daemon_loop &loop,
                 relay_codec const &codec);

    void read(cache_read const &read);

private:
    http_client &http_;
    daemon_loop &loop_;
    relay_codec const &codec_;
};

} // namespace agateledge

#endif
