#include "row_client.hpp"

#include "daemon_loop.hpp"
#include "http_client.hpp"
#include "proxy_codec.hpp"
#include "row_transaction.hpp"

#include <utility>

namespace agateledge
{

namespace
{

constexpr int http_ok = 200;
constexpr int http_multiple_choices = 300;

/// Timeout of a write of the daemon's own row. A failed write is not retried,
/// since the row is renewed regularly.
constexpr duration write_timeout = seconds(2);

/// Time after which a connection to the store counts as broken when its host
/// acknowledges nothing, also while a long poll waits. Half of the time in
/// which a daemon must know the store again.
constexpr duration unresponsive_timeout = seconds(2);

log_entry write_failure_entry(http_reply const &reply)
{
    log_entry entry;
    entry.level = log_level::warning;
    entry.event = "daemon_row_not_written";
    entry.fields = {{"status", std::to_string(reply.status)},
                    {"sent", reply.outcome == http_outcome::failed_before_send
                                 ? "false"
                                 : "true"}};
    return entry;
}

} // namespace

row_client::row_client(http_client &http, daemon_loop &loop,
                       proxy_codec const &codec, std::string address)
    : http_(http), loop_(loop), codec_(codec), address_(std::move(address))
{
}

void row_client::read(row_read const &read)
{
    auto request = codec_.encode_row_read(read);
    request.address = address_;
    request.total_timeout = read.timeout;
    request.unresponsive_timeout = unresponsive_timeout;
    http_.send(request,
               [this, read](http_reply const &reply)
               {
                   auto decoded = codec_.decode_row_read(
                       read, reply.answered_status(), reply.body);
                   decoded.store_era = era_of(reply);
                   if (decoded.configuration && on_configuration)
                   {
                       on_configuration(decoded.configuration->version,
                                        reply.body);
                   }
                   loop_.input().row_read_replies.push_back(std::move(decoded));
               });
}

void row_client::write(daemon_row_write const &write)
{
    auto request = codec_.encode_daemon_row(write);
    request.address = address_;
    request.total_timeout = write_timeout;
    request.unresponsive_timeout = unresponsive_timeout;
    http_.send(request,
               [this](http_reply const &reply)
               {
                   if (on_written_era)
                   {
                       on_written_era(era_of(reply));
                   }
                   bool const written =
                       reply.outcome == http_outcome::answered &&
                       reply.status >= http_ok &&
                       reply.status < http_multiple_choices;
                   if (!written && loop_.handlers.write_log)
                   {
                       loop_.handlers.write_log(write_failure_entry(reply));
                   }
               });
}

std::uint64_t row_client::era_of(http_reply const &reply) const
{
    return reply.outcome == http_outcome::answered && codec_.decode_store_era
               ? codec_.decode_store_era(reply.headers)
               : 0;
}

void row_client::write(std::shared_ptr<row_transaction const> const &item)
{
    auto request = codec_.encode_row_transaction(*item);
    request.address = address_;
    request.total_timeout = item->timeout;
    request.new_connection = true;
    http_.send(
        request,
        [this, item](http_reply const &reply)
        {
            auto out = codec_.decode_row_transaction(
                *item, reply.answered_status(), reply.body);
            if (reply.outcome == http_outcome::failed_before_send)
            {
                out.outcome = row_transaction_outcome::refused;
            }
            out.store_era = codec_.decode_store_era(reply.headers);
            loop_.input().row_transaction_replies.push_back(
                std::make_shared<row_transaction_reply const>(std::move(out)));
        });
}

} // namespace agateledge
