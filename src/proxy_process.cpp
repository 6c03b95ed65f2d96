#include "proxy_process.hpp"

#include "account_load_codec.hpp"
#include "account_load_report.hpp"
#include "duty_state.hpp"
#include "http_exchange.hpp"
#include "json_log.hpp"
#include "log_proxied_request.hpp"
#include "part_evidence_codec.hpp"
#include "peer_load_codec.hpp"
#include "proxy_metrics_text.hpp"
#include "settings_reader.hpp"
#include "share_store_reads.hpp"
#include "store_view_codec.hpp"
#include "store_view_state.hpp"
#include "usage_snapshot.hpp"
#include "usage_snapshot_codec.hpp"

#include <glib.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <utility>

namespace agateledge
{

namespace
{

/// Interval at which the settings file is polled, as it may change without a
/// SIGHUP.
constexpr guint file_check_interval_ms = 2000;

constexpr int http_ok = 200;
constexpr int http_no_content = 204;
constexpr int http_not_found = 404;
constexpr int http_unavailable = 503;

/// Path at which a daemon gives its configuration to others, on the address of
/// its datagrams.
constexpr char const *configuration_path = "/configuration";

/// Query parameter with the version that the asking daemon has; the same one is
/// not sent again.
constexpr char const *known_version_parameter = "known";

/// Timeout of a fetch of the configuration from another daemon. Three such
/// fetches take less than the time in which a configuration must be in force.
constexpr duration fetch_timeout = milliseconds(400);

/// Descriptors reserved for other uses than requests, at most half of them, and
/// descriptors per request: the caller's connection and the call to an
/// instance.
constexpr int reserved_descriptors = 200;
constexpr std::size_t descriptors_per_request = 2;

/// Memory of a connection whose client sends a body, without the body: measured
/// with 1,800 of them at once. All connections may take a quarter of the host's
/// memory.
constexpr std::size_t connection_bytes = std::size_t{32} << 10;
constexpr std::size_t connection_memory_share = 4;

/// Time within which a caller must send the headers of its first request, and
/// the body of each request after its headers.
constexpr duration body_timeout = seconds(15);

/// Share of the drain bound up to which the age of the directory is ordinary.
/// The pauses between reads are shorter.
constexpr double max_ordinary_age_share = 0.75;

/// Memory of all request bodies at the listeners for readiness and metrics,
/// whose requests have none.
constexpr std::size_t internal_body_bytes = std::size_t{64} << 10;

listener_limits limits_of(proxy_settings const &config)
{
    listener_limits out;
    auto const reserved =
        std::min(reserved_descriptors, config.max_descriptors / 2);
    auto const fitting = config.limits.memory.host_bytes /
                         connection_memory_share / connection_bytes;
    out.max_connections = static_cast<int>(std::min<std::size_t>(
        fitting, static_cast<std::size_t>(config.max_descriptors - reserved) /
                     descriptors_per_request));
    out.request_timeout = body_timeout;
    out.head_timeout = config.head_timeout;
    out.silent_time = config.silent_client_time;
    out.stalled_time = config.stalled_client_time;
    out.memory = config.limits.memory;
    return out;
}

/// @return CLOCK_REALTIME, which may jump
duration time_of_day()
{
    timespec value{};
    clock_gettime(CLOCK_REALTIME, &value);
    return seconds(value.tv_sec) + std::chrono::duration_cast<duration>(
                                       std::chrono::nanoseconds(value.tv_nsec));
}

/// @return limits of the listeners for readiness and metrics
http_server_limits internal_limits_of(proxy_settings const &config)
{
    http_server_limits out;
    out.connections = limits_of(config);
    out.connections.max_connections =
        std::min(config.internal_connections, config.max_descriptors / 8);
    out.connections.request_timeout = config.head_timeout;
    out.connections.silent_time = duration::zero();
    out.body_bytes = internal_body_bytes;
    out.answers_at_once = true;
    return out;
}

} // namespace

proxy_process::proxy_process(proxy_settings config, std::string file,
                             proxy_codec codec, incarnation_number incarnation,
                             std::uint64_t seed)
    : config_(std::move(config)), file_(std::move(file)),
      codec_(std::move(codec)),
      state_({config_.name, incarnation, config_.data_centre,
              config_.caller_address},
             seed),
      loop_(state_),
      http_(connection_reuse::keep_alive, config_.limits.memory.reply_bytes()),
      instance_http_(connection_reuse::single_call), gate_random_(seed),
      callers_(state_, loop_, codec_, limits_of(config_)),
      instances_(instance_http_, loop_, codec_), caches_(http_, loop_, codec_),
      rows_(http_, loop_, codec_, config_.store_address),
      platform_(http_, loop_, codec_, config_.limits.duties.platform_address),
      role_orders_(instance_http_, loop_, codec_),
      readiness_(internal_limits_of(config_)),
      metrics_(internal_limits_of(config_))
{
    state_.proxy.enabled = true;
    state_.proxy.limits = config_.limits;
    state_.proxy.peer_address = config_.peer_address;
    set_up_duties();
    install_handlers();
}

proxy_process::~proxy_process()
{
    if (file_check_timer_ != 0)
    {
        g_source_remove(file_check_timer_);
    }
}

void proxy_process::set_up_duties()
{
    if (has_duties(state_))
    {
        duties_of(state_).time_of_day = time_of_day;
    }
}

bool proxy_process::ready() const
{
    auto const &proxy = state_.proxy;
    auto const &instances =
        proxy.table_polls.at(static_cast<std::size_t>(polled_table::instances));
    return proxy.routing->version != 0 && instances.fully_read &&
           has_checked_neighbours(state_) && !proxy.stopping_since &&
           callers_.can_accept();
}

void proxy_process::install_handlers()
{
    auto &handlers = loop_.handlers;
    handlers.write_log = [this](log_entry const &entry)
    { write_log_line(config_.name, entry); };
    handlers.answer_proxied_request = [this](proxy_answer const &answer)
    { callers_.answer(answer); };
    handlers.call_instance = [this](proxy_call const &call)
    { instances_.call(call); };
    handlers.cancel_proxied_request = [this](proxy_cancel const &cancel)
    { instances_.cancel(cancel); };
    handlers.release_kv = [this](kv_release const &release)
    { instances_.release(release); };
    handlers.read_cache = [this](cache_read const &read)
    { caches_.read(read); };
    handlers.read_rows = [this](row_read const &read) { rows_.read(read); };
    handlers.write_daemon_row = [this](daemon_row_write const &write)
    { rows_.write(write); };
    rows_.on_written_era = [this](std::uint64_t era)
    {
        auto &known = store_view_of(state_).written_era;
        if (era > known)
        {
            known = era;
            loop_.input();
        }
    };
    handlers.write_rows =
        [this](std::shared_ptr<row_transaction const> const &item)
    { rows_.write(item); };
    handlers.call_platform =
        [this](std::shared_ptr<platform_call const> const &call)
    { platform_.call(call); };
    handlers.order_engine_role =
        [this](std::shared_ptr<engine_role_order const> const &order)
    { role_orders_.send(order); };
    handlers.send_peer_load = [this](peer_load_send const &send)
    { send_peer_load(send); };
    handlers.send_part_evidence = [this](part_evidence_send const &send)
    { send_part_evidence(send); };
    handlers.send_store_view =
        [this](peer_report<store_view_report> const &send)
    { send_store_view(send); };
    install_configuration_sharing();
    handlers.send_account_load =
        [this](peer_report<account_load_report> const &send)
    { send_datagrams(send.to, encode_account_load(*send.report)); };
    handlers.send_usage_snapshot =
        [this](peer_report<usage_snapshot> const &send)
    { send_usage_snapshot(send); };
    peers_.on_datagram = [this](std::string_view bytes)
    { handle_datagram(bytes); };
    instances_.on_send = [this](proxy_call const &call, duration since_placed)
    { record_sent_call(call, since_placed); };
    loop_.polls().on_iteration = [this](duration busy, instant now)
    { gate_.record_iteration(busy, now); };
    gate_.on_change = [this](bool overloaded)
    {
        log(log_level::warning,
            overloaded ? "overload_began" : "overload_ended", {});
    };
    callers_.admits_request = [this] { return admits_request(); };
    handlers.stop = [this] { stop_allowed_ = true; };
    watch_limits(callers_.acceptor());
    watch_limits(readiness_.acceptor());
    watch_limits(metrics_.acceptor());
    callers_.on_backpressure = [this](request_number request, bool paused)
    { instances_.set_paused(request, paused); };
    readiness_.add(
        codec_.readiness_path.c_str(),
        [this](std::shared_ptr<http_exchange> const &request)
        { request->reply(ready() ? http_ok : http_unavailable, "{}"); });
    metrics_.add(config_.metrics_path.c_str(),
                 [this](std::shared_ptr<http_exchange> const &request)
                 {
                     request->reply(http_ok,
                                    proxy_metrics_text(state_) +
                                        limited_clients_.metrics_text(),
                                    "text/plain; version=0.0.4");
                 });
}

absl::Status proxy_process::start()
{
    auto status = callers_.start(config_.caller_address);
    status.Update(readiness_.listen(config_.readiness_address));
    status.Update(metrics_.listen(config_.metrics_address));
    if (!config_.peer_address.empty())
    {
        status.Update(peers_.open(config_.peer_address));
        status.Update(neighbours_.listen(config_.peer_address));
    }
    if (!status.ok())
    {
        return status;
    }
    log(log_level::info, "started",
        {{"callers", config_.caller_address},
         {"data_centre", config_.data_centre},
         {"store", config_.store_address},
         {"incarnation", std::to_string(state_.identity.incarnation.value())},
         {"version", AGATELEDGE_VERSION}});
    if (auto const text = read_settings_file_text(); text)
    {
        file_text_ = *text;
    }
    file_check_timer_ = g_timeout_add(
        file_check_interval_ms,
        [](gpointer self) -> gboolean
        {
            static_cast<proxy_process *>(self)->reload_if_changed();
            return G_SOURCE_CONTINUE;
        },
        this);
    loop_.input();
    return status;
}

std::optional<std::string> proxy_process::read_settings_file_text() const
{
    auto const text = read_settings_file(file_);
    return text.ok() ? std::optional(*text) : std::nullopt;
}

void proxy_process::reload_if_changed()
{
    auto const text = read_settings_file_text();
    if (text && *text != file_text_)
    {
        reload();
    }
}

void proxy_process::reload()
{
    auto const text = read_settings_file(file_);
    auto const loaded =
        text.ok() ? parse_proxy_settings(*text, file_) : text.status();
    if (!loaded.ok())
    {
        log(log_level::error, "settings_invalid",
            {{"fault", std::string(loaded.status().message())}});
        return;
    }
    file_text_ = *text;
    apply(*loaded);
}

void proxy_process::apply(proxy_settings const &config)
{
    bool const listeners_changed =
        config.caller_address != config_.caller_address ||
        config.readiness_address != config_.readiness_address;
    state_.proxy.limits = config.limits;
    set_up_duties();
    rows_.set_address(config.store_address);
    platform_.set_address(config.limits.duties.platform_address);
    auto const level = set_log_level(config.log_level);
    log(level.ok() ? log_level::info : log_level::error, "reloaded",
        {{"store", config.store_address},
         {"log_level", config.log_level},
         {"listeners_need_restart", listeners_changed ? "true" : "false"}});
    loop_.input();
}

void proxy_process::send_peer_load(peer_load_send const &send)
{
    send_datagrams(send.to, encode_peer_load(*send.report));
}

void proxy_process::send_datagrams(std::vector<std::string> const &to,
                                   std::string const &bytes)
{
    auto const failed =
        std::ranges::count_if(to, [this, &bytes](std::string const &address)
                              { return !peers_.send(address, bytes); });
    state_.proxy.metrics.load_reports["not_sent"] +=
        static_cast<std::uint64_t>(failed);
}

void proxy_process::send_part_evidence(part_evidence_send const &send)
{
    auto const bytes = encode_part_evidence(*send.report);
    auto const failed = std::ranges::count_if(
        send.to, [this, &bytes](std::string const &address)
        { return !peers_.send(address, bytes); });
    state_.proxy.metrics.part_evidence_reports["not_sent"] +=
        static_cast<std::uint64_t>(failed);
}

void proxy_process::send_usage_snapshot(peer_report<usage_snapshot> const &send)
{
    auto const bytes = encode_usage_snapshot(*send.report);
    auto const failed = std::ranges::count_if(
        send.to, [this, &bytes](std::string const &address)
        { return !peers_.send(address, bytes); });
    if (state_.proxy.duties)
    {
        state_.proxy.duties->snapshots["not_sent"] +=
            static_cast<std::uint64_t>(failed);
    }
}

void proxy_process::handle_datagram(std::string_view bytes)
{
    if (auto load = decode_peer_load(bytes))
    {
        loop_.input().peer_load_reports.push_back(*std::move(load));
        return;
    }
    if (auto evidence = decode_part_evidence(bytes))
    {
        loop_.input().part_evidence_reports.push_back(*std::move(evidence));
        return;
    }
    if (auto view = decode_store_view(bytes))
    {
        loop_.input().store_view_reports.push_back(
            std::make_shared<store_view_report const>(*std::move(view)));
        return;
    }
    if (auto accounts = decode_account_load(bytes))
    {
        loop_.input().account_load_reports.push_back(
            std::make_shared<account_load_report const>(*std::move(accounts)));
        return;
    }
    if (auto usage = decode_usage_snapshot(bytes))
    {
        loop_.input().usage_snapshots.push_back(
            std::make_shared<usage_snapshot const>(*std::move(usage)));
        return;
    }
    ++state_.proxy.metrics.load_reports["unreadable"];
}

void proxy_process::send_store_view(peer_report<store_view_report> const &send)
{
    auto const bytes = encode_store_view(*send.report);
    auto const failed = std::ranges::count_if(
        send.to, [this, &bytes](std::string const &address)
        { return !peers_.send(address, bytes); });
    auto &counts = store_view_of(state_).report_counts;
    counts["not_sent"] += static_cast<std::uint64_t>(failed);
    counts["sent"] += send.to.size() - static_cast<std::uint64_t>(failed);
}

void proxy_process::install_configuration_sharing()
{
    rows_.on_configuration =
        [this](std::uint64_t version, std::string const &text)
    { keep_configuration(version, text); };
    loop_.handlers.fetch_configuration =
        [this](configuration_fetch const &fetch)
    { fetch_configuration(fetch); };
    neighbours_.add(configuration_path,
                    [this](std::shared_ptr<http_exchange> const &request)
                    { give_configuration(*request); });
}

void proxy_process::give_configuration(http_exchange &request)
{
    auto const known = request.query(known_version_parameter);
    if (configuration_version_ == 0)
    {
        request.reply(http_not_found, {});
    }
    else if (known == std::to_string(configuration_version_))
    {
        request.reply(http_no_content, {});
    }
    else
    {
        request.reply(http_ok, configuration_text_);
    }
}

void proxy_process::keep_configuration(std::uint64_t version,
                                       std::string const &text)
{
    if (version > configuration_version_)
    {
        configuration_version_ = version;
        configuration_text_ = text;
    }
}

void proxy_process::fetch_configuration(configuration_fetch const &fetch)
{
    http_request request;
    request.address = fetch.address;
    request.path = std::string(configuration_path) + "?" +
                   known_version_parameter + "=" +
                   std::to_string(state_.proxy.routing->version);
    request.total_timeout = fetch_timeout;
    request.new_connection = true;
    http_.send(request, [this, fetch](http_reply const &reply)
               { handle_fetched_configuration(fetch, reply); });
}

void proxy_process::handle_fetched_configuration(
    configuration_fetch const &fetch, http_reply const &reply)
{
    row_read read;
    read.table = polled_table::configuration;
    auto const decoded =
        codec_.decode_row_read(read, reply.answered_status(), reply.body);
    auto &view = store_view_of(state_);
    view.fetch.in_flight = false;
    auto const *outcome = "failed";
    if (decoded.configuration)
    {
        outcome = "answered";
        keep_configuration(decoded.configuration->version, reply.body);
        view.fetch.received = decoded.configuration;
        view.fetch.start_check_done = true;
    }
    else if (reply.answered_status() == http_no_content)
    {
        outcome = "same_version";
        view.fetch.start_check_done = true;
    }
    ++view.fetch_counts[outcome];
    log(decoded.configuration ? log_level::info : log_level::debug,
        "neighbour_configuration",
        {{"peer", fetch.peer},
         {"outcome", outcome},
         {"version", decoded.configuration
                         ? std::to_string(decoded.configuration->version)
                         : "0"}});
    loop_.input();
}

void proxy_process::record_sent_call(proxy_call const &call,
                                     duration since_placed)
{
    auto &metrics = state_.proxy.metrics;
    metrics.placed_to_sent.add(since_placed);
    if (!call.directory_known_at)
    {
        return;
    }
    auto const age = call.placed_at + since_placed - *call.directory_known_at;
    metrics.sent_directory_age.add(age);
    // While the store is away, the directory is old for each call.
    if (state_.proxy.store.reachable &&
        age > max_ordinary_age_share * state_.proxy.limits.drain_bound)
    {
        log(log_level::warning, "call_sent_late",
            {{"request", call.content->caller_attempt},
             {"instance", call.instance},
             {"since_placed_ms", milliseconds_text(since_placed)},
             {"directory_age_ms", milliseconds_text(age)}});
    }
}

bool proxy_process::admits_request()
{
    if (gate_.admits(gate_random_.uniform()))
    {
        return true;
    }
    auto &metrics = state_.proxy.metrics;
    ++metrics.refusals[std::string(name_of(result_code::queue_full))];
    ++metrics.requests["refused"];
    return false;
}

void proxy_process::watch_limits(connection_acceptor &acceptor)
{
    acceptor.on_limited = [this](std::string const &client, char const *reason)
    {
        if (auto const entry = limited_clients_.record(
                client, reason, daemon_loop::clock_now()))
        {
            write_log_line(config_.name, *entry);
        }
    };
}

void proxy_process::shut_down()
{
    if (shutdown_.begun())
    {
        return;
    }
    loop_.input().shutdown = true;
    shutdown_.begin([this] { return stop_allowed_; },
                    [this]
                    {
                        log(log_level::info, "stopped", {});
                        if (on_stopped)
                        {
                            on_stopped();
                        }
                    });
}

void proxy_process::log(log_level level, std::string event,
                        std::vector<std::pair<std::string, std::string>> fields)
{
    write_log_line(config_.name, {level, std::move(event), std::move(fields)});
}

} // namespace agateledge
