#include "daemon_process.hpp"

#include "apply_configuration.hpp"
#include "json_log.hpp"
#include "track_peers.hpp"

#include <glib.h>

#include <utility>

namespace agateledge
{

namespace
{

daemon_identity identity_of(settings const &config,
                            incarnation_number incarnation)
{
    return {config.name, incarnation, config.data_centre, config.peer_address};
}

} // namespace

daemon_process::daemon_process(settings config, incarnation_number incarnation,
                               std::uint64_t seed)
    : config_(std::move(config)),
      state_(identity_of(config_, incarnation), seed), loop_(state_),
      http_(connection_reuse::keep_alive, config_.limits.memory.answer_bytes()),
      callers_(state_, loop_, request_keys_, config_.limits),
      engines_(http_, loop_), poller_(state_, http_, loop_),
      services_(http_, loop_),
      table_(http_, loop_, config_.table_address, config_.store),
      peer_listener_(state_, loop_, peer_keys_),
      peer_client_(state_.identity, http_, loop_, peer_keys_),
      membership_(http_, loop_, config_.membership_address, seed),
      operators_(state_, loop_, config_.operators)
{
    install_handlers();
    install_peer_handlers();
}

daemon_process::~daemon_process() = default;

void daemon_process::install_handlers()
{
    auto &handlers = loop_.handlers;
    handlers.write_log = [this](log_entry const &entry)
    { write_log_line(config_.name, entry); };
    handlers.reply_to_caller = [this](caller_reply const &reply)
    { callers_.reply(reply); };
    handlers.flush_replies = [this] { callers_.flush(); };
    handlers.call_engine = [this](engine_call const &call)
    { engines_.call(call); };
    handlers.cancel_attempt = [this](attempt_cancel const &cancel)
    { engines_.cancel(cancel); };
    handlers.call_service = [this](service_call const &call)
    { services_.call(call); };
    handlers.call_table = [this](table_call const &call) { table_.call(call); };
    handlers.send_order = [this](order_call const &call)
    { engines_.send_order(call); };
    handlers.reply_to_operator = [this](operator_reply const &answer)
    { operators_.reply(answer); };
    handlers.stop = [this] { shutdown_complete_ = true; };
    callers_.on_backpressure = [this](std::string const &key, bool paused)
    { engines_.pause_stream(key, paused); };
    engines_.is_paused = [this](std::string const &key)
    { return callers_.is_paused(key); };
}

void daemon_process::install_peer_handlers()
{
    if (config_.peer_key_file.empty())
    {
        return;
    }
    loop_.handlers.call_peer = [this](peer_call const &call)
    { peer_client_.call(call); };
    loop_.handlers.fetch_configuration =
        [this](configuration_fetch const &fetch) { peer_client_.fetch(fetch); };
}

absl::Status daemon_process::load_keys()
{
    auto const load = [](signing_keys &keys, std::string const &file)
    { return file.empty() ? absl::OkStatus() : keys.load(file); };
    auto status = load(request_keys_, config_.request_key_file);
    status.Update(load(peer_keys_, config_.peer_key_file));
    return status;
}

absl::Status daemon_process::start_peer_listener()
{
    membership_.start();
    for (auto const &peer : config_.peers)
    {
        add_peer(state_, peer.name, peer.address, peer.data_centre);
    }
    if (config_.peer_key_file.empty())
    {
        return absl::OkStatus();
    }
    auto listening = peer_listener_.start(config_.peer_address);
    if (listening.ok())
    {
        state_.identity.address = peer_listener_.address();
    }
    return listening;
}

absl::Status daemon_process::start()
{
    auto keys = load_keys();
    if (!keys.ok())
    {
        return keys;
    }
    apply_initial_configuration(state_, config_.initial);
    auto listening = callers_.start(config_.caller_address, config_.caller_tls);
    listening.Update(start_peer_listener());
    if (!config_.operators.empty())
    {
        listening.Update(operators_.start(config_.operator_address));
    }
    if (listening.ok())
    {
        loop_.input();
        poller_.start();
    }
    return listening;
}

absl::Status daemon_process::reload()
{
    auto keys = load_keys();
    auto certificate = callers_.acceptor().reload_certificate();
    auto status = keys.ok() ? certificate : keys;
    if (!status.ok())
    {
        write_log_line(config_.name,
                       {log_level::error,
                        "reload_failed",
                        {{"fault", std::string(status.message())}}});
    }
    return status;
}

void daemon_process::shut_down()
{
    if (shutdown_.begun())
    {
        return;
    }
    loop_.input().shutdown = true;
    shutdown_.begin(
        [this] { return shutdown_complete_ && callers_.open_exchanges() == 0; },
        [this]
        {
            if (on_stopped)
            {
                on_stopped();
            }
        });
}

} // namespace agateledge
