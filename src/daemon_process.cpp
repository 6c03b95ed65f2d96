#include "daemon_process.hpp"

#include "apply_configuration.hpp"
#include "json_log.hpp"

#include <glib.h>

#include <utility>

namespace agateledge
{

namespace
{

constexpr guint stop_check_interval_ms = 20;

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
      callers_(state_, loop_, request_keys_, config_.limits),
      engines_(http_, loop_), poller_(state_, http_, loop_),
      services_(http_, loop_),
      table_(http_, loop_, config_.table_address, config_.store)
{
    install_handlers();
}

daemon_process::~daemon_process()
{
    if (stop_timer_ != 0)
    {
        g_source_remove(stop_timer_);
    }
}

void daemon_process::install_handlers()
{
    auto &handlers = loop_.handlers;
    handlers.write_log = [this](log_entry const &entry)
    { write_log_line(config_.name, entry); };
    handlers.reply_to_caller = [this](caller_reply const &reply)
    { callers_.reply(reply); };
    handlers.call_engine = [this](engine_call const &call)
    { engines_.call(call); };
    handlers.cancel_attempt = [this](attempt_cancel const &cancel)
    { engines_.cancel(cancel); };
    handlers.call_service = [this](service_call const &call)
    { services_.call(call); };
    handlers.call_table = [this](table_call const &call) { table_.call(call); };
    handlers.send_order = [this](order_call const &call)
    { engines_.send_order(call); };
    callers_.on_hold = [this](std::string const &key, bool hold)
    { engines_.hold_stream(key, hold); };
    engines_.is_held = [this](std::string const &key)
    { return callers_.is_held(key); };
}

absl::Status daemon_process::load_keys()
{
    return config_.request_key_file.empty()
               ? absl::OkStatus()
               : request_keys_.load(config_.request_key_file);
}

absl::Status daemon_process::start()
{
    auto keys = load_keys();
    if (!keys.ok())
    {
        return keys;
    }
    use_initial_configuration(state_, config_.initial);
    auto listening = callers_.start(config_.caller_address, config_.caller_tls);
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
    auto certificate = callers_.gate().reload_certificate();
    return keys.ok() ? certificate : keys;
}

void daemon_process::shut_down()
{
    if (stop_timer_ != 0)
    {
        return;
    }
    state_.draining = true;
    loop_.input().shutdown = true;
    stop_timer_ = g_timeout_add(
        stop_check_interval_ms,
        [](gpointer self) -> gboolean
        {
            static_cast<daemon_process *>(self)->check_stopped();
            return G_SOURCE_CONTINUE;
        },
        this);
}

void daemon_process::check_stopped()
{
    if (state_.requests.size() == 0 && callers_.open_exchanges() == 0 &&
        on_stopped)
    {
        std::exchange(on_stopped, {})();
    }
}

} // namespace agateledge
