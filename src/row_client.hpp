#ifndef AGATELEDGE_ROW_CLIENT_HPP
#define AGATELEDGE_ROW_CLIENT_HPP

#include "row_messages.hpp"

#include <string>

namespace agateledge
{

class daemon_loop;
class http_client;
struct relay_codec;

/// Calls to the platform's store.
class row_client
{
public:
    /// @param http makes the calls; outlives this
    /// @param loop takes the replies; outlives this
    /// @param codec encodes calls and decodes replies; outlives this
    /// @param address IP address and port of the store
    row_client(http_client &http, daemon_loop &loop, relay_codec const &codec,
               std::string address);

    void read(row_read const &read);
    void write(daemon_row_write const &write);

    /// Sends later calls to another address.
    void set_address(std::string address) { address_ = std::move(address); }

private:
    http_client &http_;
    daemon_loop &loop_;
    relay_codec const &codec_;
    std::string address_;
};

} // namespace agateledge

#endif
