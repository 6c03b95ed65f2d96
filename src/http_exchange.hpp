#ifndef AGATELEDGE_HTTP_EXCHANGE_HPP
#define AGATELEDGE_HTTP_EXCHANGE_HPP

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace agateledge
{

/// One request to an `http_server` and its reply. Shared by its
/// handlers until the reply has been written or the client has disconnected.
class http_exchange
{
public:
    /// @param message request; the exchange keeps a reference
    /// @param query parsed query string, or null
    /// @param body body of the request
    http_exchange(SoupServerMessage *message, GHashTable *query,
                  std::string body);
    ~http_exchange();
    http_exchange(http_exchange const &) = delete;
    http_exchange &operator=(http_exchange const &) = delete;

    std::string method() const;
    std::string path() const;
    std::string const &body() const { return body_; }

    /// @return value of a request header, or an empty string
    std::string header(char const *name) const;

    /// @return value of a query parameter, or an empty string
    std::string query(char const *name) const;

    /// Sends a complete reply.
    void reply(int status, std::string_view body,
               char const *content_type = "application/json");

    /// Starts a reply of server-sent events.
    void begin_events();

    /// Appends one event to the reply.
    ///
    /// @param data text of the event, without line breaks
    void write_event(std::string_view data);

    /// Ends a reply that `begin_events` began.
    void end_events();

    /// @return true once the client has disconnected or the reply was written
    bool closed() const { return closed_; }

    /// Installs a handler that runs once, when the client closes the connection
    /// or the reply has been written.
    void on_closed(std::function<void()> handler)
    {
        closed_handler_ = std::move(handler);
    }

    /// Delays the reply until `reply` or `begin_events`, which may be called
    /// after the handler of the server has returned.
    void defer();

private:
    static void finished(SoupServerMessage *message, gpointer self);
    void resume();

    SoupServerMessage *message_;
    GHashTable *query_;
    std::string body_;
    std::function<void()> closed_handler_;
    gulong finished_handler_ = 0;
    bool deferred_ = false;
    bool closed_ = false;
};

} // namespace agateledge

#endif
