#ifndef AGATELEDGE_ROW_CLIENT_HPP
#define AGATELEDGE_ROW_CLIENT_HPP

#include "row_messages.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace agateledge
{

class daemon_loop;
class http_client;
struct http_reply;
struct proxy_codec;
struct row_transaction;

/// Client of the platform's store.
class row_client
{
public:
    /// @param http client for the calls; must outlive this object
    /// @param loop receives the replies; must outlive this object
    /// @param codec encodes calls and decodes replies; must outlive this object
    /// @param address IP address and port of the store
    row_client(http_client &http, daemon_loop &loop, proxy_codec const &codec,
               std::string address);

    /// Starts a read; its reply is added to the inbox of the loop.
    void read(row_read const &read);

    /// Starts a write; a failure is only logged.
    void write(daemon_row_write const &write);

    /// Starts a transaction on the system's own rows, or a read of them; its
    /// reply is added to the inbox of the loop.
    void write(std::shared_ptr<row_transaction const> const &item);

    /// Changes the address for later calls.
    void set_address(std::string address) { address_ = std::move(address); }

    /// Called with the text of each reply that contains a configuration.
    std::function<void(std::uint64_t version, std::string const &body)>
        on_configuration;

    /// Called with the era in the reply to each write; 0 for none.
    std::function<void(std::uint64_t)> on_written_era;

private:
    std::uint64_t era_of(http_reply const &reply) const;

    http_client &http_;
    daemon_loop &loop_;
    proxy_codec const &codec_;
    std::string address_;
};

} // namespace agateledge

#endif
