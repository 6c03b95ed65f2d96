#include "standin_platform_server.hpp"

#include "daemon_loop.hpp"
#include "http_exchange.hpp"
#include "json_text.hpp"

#include <algorithm>
#include <utility>

namespace agateledge
{

namespace
{

/// Size of the weights of each model, in bytes.
constexpr double weight_bytes = 2e9;

Json::Value to_json(host_entry const &host)
{
    Json::Value out;
    out["name"] = host.name;
    out["data_centre"] = host.data_centre;
    out["address"] = host.address;
    out["leaving"] = host.leaving;
    out["entry"] = host.entry;
    return out;
}

gboolean send_weights(gpointer data)
{
    auto const &request = *static_cast<std::shared_ptr<http_exchange> *>(data);
    Json::Value out;
    out["bytes"] = weight_bytes;
    request->reply(200, json_to_text(out));
    return G_SOURCE_REMOVE;
}

void delete_request(gpointer data)
{
    delete static_cast<std::shared_ptr<http_exchange> *>(data);
}

} // namespace

standin_platform_server::standin_platform_server(duration membership_lag,
                                                 double weight_bytes_per_second)
    : membership_lag_(membership_lag),
      weight_bytes_per_second_(weight_bytes_per_second)
{
    server_.add("/v1/hosts",
                [this](exchange const &request) { list_hosts(request); });
    server_.add("/v1/objects",
                [this](exchange const &request) { serve_object(request); });
    server_.add("/v1/weights",
                [this](exchange const &request) { serve_weights(request); });
}

absl::Status standin_platform_server::listen(std::string const &address)
{
    return server_.listen(address);
}

void standin_platform_server::set_hosts(std::vector<host_entry> hosts)
{
    // The first list is visible without delay: otherwise a platform that has
    // just started would return an empty list.
    auto const now = daemon_loop::clock_now();
    auto const since = host_lists_.empty() ? now - membership_lag_ : now;
    host_lists_.push_back({since, std::move(hosts)});
}

void standin_platform_server::list_hosts(exchange const &request) const
{
    auto const visible_at = daemon_loop::clock_now() - membership_lag_;
    auto const visible = std::find_if(host_lists_.rbegin(), host_lists_.rend(),
                                      [visible_at](host_list const &list)
                                      { return list.since <= visible_at; });
    Json::Value hosts(Json::arrayValue);
    if (visible != host_lists_.rend())
    {
        std::ranges::for_each(visible->hosts, [&hosts](host_entry const &host)
                              { hosts.append(to_json(host)); });
    }
    Json::Value out;
    out["hosts"] = hosts;
    request->reply(200, json_to_text(out));
}

void standin_platform_server::serve_object(exchange const &request)
{
    auto const key = request->path();
    if (request->method() == "PUT")
    {
        objects_[key] = request->body();
        request->reply(200, "{}");
        return;
    }
    auto const found = objects_.find(key);
    if (found == objects_.end())
    {
        request->reply(404, R"({"error":"no such object"})");
        return;
    }
    request->reply(200, found->second, "application/octet-stream");
}

void standin_platform_server::serve_weights(exchange const &request)
{
    auto const now = daemon_loop::clock_now();
    weight_transfers_end_at_ =
        std::max(weight_transfers_end_at_, now) +
        from_seconds(weight_bytes / weight_bytes_per_second_);
    auto const delay =
        std::chrono::ceil<milliseconds>(weight_transfers_end_at_ - now).count();
    request->defer();
    g_timeout_add_full(
        G_PRIORITY_DEFAULT, static_cast<guint>(delay), send_weights,
        new std::shared_ptr<http_exchange>(request), delete_request);
}

} // namespace agateledge
