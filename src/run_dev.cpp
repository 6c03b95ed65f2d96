#include "run_dev.hpp"

#include "command_options.hpp"
#include "daemon_process.hpp"
#include "http_server.hpp"
#include "internal_assert.hpp"
#include "json_log.hpp"
#include "json_text.hpp"
#include "load_client.hpp"
#include "load_settings.hpp"
#include "settings.hpp"
#include "standin_fleet.hpp"
#include "world.hpp"

#include <glib.h>
#include <glib/gstdio.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <set>
#include <utility>

namespace agateledge
{

namespace
{

/// Token of the caller that `dev` adds to the configuration for its load.
constexpr char const *load_token = "agateledge-dev-load";
constexpr char const *load_token_sha256 =
    "aff5d1d3b72563bb80b91072bce0006e40da7f029c273b99417d49115cb434da";

/// @return a loopback address whose port was free at the time of the call;
///         empty on failure
std::string free_address()
{
    http_server probe;
    auto const status = probe.listen("127.0.0.1:0");
    return status.ok() ? probe.address() : std::string();
}

/// Temporary file with a random key that all daemons of this process share;
/// the destructor removes it.
class shared_key_file
{
public:
    shared_key_file()
    {
        GError *error = nullptr;
        gchar *path = nullptr;
        auto const descriptor =
            g_file_open_tmp("agateledge-dev-XXXXXX", &path, &error);
        internal_assert(descriptor >= 0, "cannot create a temporary key file: ",
                        error == nullptr ? "" : error->message);
        g_close(descriptor, nullptr);
        path_ = path;
        g_free(path);
        std::ofstream(path_) << key() << "\n";
    }

    ~shared_key_file() { g_unlink(path_.c_str()); }
    shared_key_file(shared_key_file const &) = delete;
    shared_key_file &operator=(shared_key_file const &) = delete;

    std::string const &path() const { return path_; }

private:
    static std::string key()
    {
        auto *text = g_uuid_string_random();
        std::string key = text;
        g_free(text);
        return key;
    }

    std::string path_;
};

std::set<std::string> data_centres_of(configuration const &config)
{
    std::set<std::string> names;
    std::ranges::transform(config.engines, std::inserter(names, names.end()),
                           &engine_definition::data_centre);
    return names;
}

/// A deployment in one process: stand-ins, daemons and the load.
class dev_run
{
public:
    dev_run(settings base, std::uint64_t seed)
        : base_(std::move(base)), seed_(seed), fleet_(seed),
          loop_(g_main_loop_new(nullptr, FALSE))
    {
    }

    ~dev_run() { g_main_loop_unref(loop_); }
    dev_run(dev_run const &) = delete;
    dev_run &operator=(dev_run const &) = delete;

    absl::Status start()
    {
        base_.initial.callers.push_back(
            {"dev-load", "dev", load_token_sha256, 0, 0});
        if (auto status = fleet_.start(base_, true); !status.ok())
        {
            return status;
        }
        return start_daemons();
    }

    /// Sends the load, then shuts the daemons down and waits until they have
    /// stopped.
    void run(int requests, double per_second)
    {
        std::vector<std::string> addresses;
        std::ranges::transform(daemon_settings_, std::back_inserter(addresses),
                               &settings::caller_address);
        client_ = std::make_unique<load_client>(base_.initial, addresses,
                                                load_token, seed_);
        // Gives the daemons time to fetch their configuration.
        constexpr guint start_delay_ms = 1500;
        start_load_ = [this, requests, per_second]
        { client_->start(requests, per_second, [this] { stop_daemons(); }); };
        g_timeout_add(start_delay_ms, run_callback, &start_load_);
        progress_ = [this] { print_progress(); };
        constexpr guint progress_interval_ms = 2000;
        auto const progress =
            g_timeout_add(progress_interval_ms, repeat_callback, &progress_);
        g_main_loop_run(loop_);
        g_source_remove(progress);
    }

    /// Serves callers until the process is killed.
    void serve()
    {
        std::cout << "callers: " << daemon_settings_.front().caller_address
                  << "\noperators: "
                  << daemon_settings_.front().operator_address << std::endl;
        g_main_loop_run(loop_);
    }

    /// Prints the totals as JSON.
    ///
    /// @return exit code
    int print_summary() const
    {
        auto const &totals = client_->totals();
        std::uint64_t role_changes = 0;
        for (auto const &daemon : daemons_)
        {
            role_changes += daemon->state().totals.role_changes;
        }
        auto const duplicates = fleet_.duplicate_booking_count();
        Json::Value out;
        out["requests"] = totals.requests;
        out["answered"] = totals.answered;
        out["answered_in_time"] = totals.answered_in_time;
        out["not_run"] = totals.not_run;
        out["unknown"] = totals.unknown;
        out["duplicates"] = duplicates;
        out["role_changes"] = Json::UInt64(role_changes);
        std::cout << json_to_text(out) << std::endl;
        bool const all_accounted_for =
            totals.answered + totals.not_run == totals.requests;
        return all_accounted_for && duplicates == 0 ? exit_success
                                                    : exit_failure;
    }

private:
    static gboolean run_callback(gpointer callback)
    {
        (*static_cast<std::function<void()> *>(callback))();
        return G_SOURCE_REMOVE;
    }

    static gboolean repeat_callback(gpointer callback)
    {
        (*static_cast<std::function<void()> *>(callback))();
        return G_SOURCE_CONTINUE;
    }

    void build_daemon_settings()
    {
        for (auto const &data_centre : data_centres_of(base_.initial))
        {
            auto member = base_;
            member.name = "entry-" + data_centre;
            member.data_centre = data_centre;
            member.request_key_file = keys_.path();
            member.peer_key_file = keys_.path();
            if (!daemon_settings_.empty())
            {
                member.caller_address = free_address();
                member.operator_address = free_address();
                member.peer_address = free_address();
            }
            daemon_settings_.push_back(std::move(member));
        }
        for (auto &member : daemon_settings_)
        {
            for (auto const &other : daemon_settings_)
            {
                if (other.name != member.name)
                {
                    member.peers.push_back(
                        {other.name, other.peer_address, other.data_centre});
                }
            }
        }
    }

    absl::Status start_daemons()
    {
        build_daemon_settings();
        for (auto const &member : daemon_settings_)
        {
            auto daemon = std::make_unique<daemon_process>(
                member,
                incarnation_number(
                    static_cast<std::uint64_t>(g_get_real_time())),
                seed_ + daemons_.size());
            if (auto status = daemon->start(); !status.ok())
            {
                return status;
            }
            daemons_.push_back(std::move(daemon));
        }
        return absl::OkStatus();
    }

    void print_progress() const
    {
        auto const &totals = client_->totals();
        std::cout << "requests " << totals.requests << ", ended "
                  << totals.ended() << ", answered " << totals.answered
                  << std::endl;
    }

    void stop_daemons()
    {
        running_ = daemons_.size();
        for (auto const &daemon : daemons_)
        {
            daemon->on_stopped = [this]
            {
                if (--running_ == 0)
                {
                    g_main_loop_quit(loop_);
                }
            };
            daemon->shut_down();
        }
    }

    settings base_;
    std::uint64_t seed_;
    shared_key_file keys_;
    standin_fleet fleet_;
    GMainLoop *loop_;
    std::vector<settings> daemon_settings_;
    std::vector<std::unique_ptr<daemon_process>> daemons_;
    std::unique_ptr<load_client> client_;
    std::function<void()> start_load_;
    std::function<void()> progress_;
    std::size_t running_ = 0;
};

/// Loads the settings and starts the log on standard error.
absl::StatusOr<settings> load_and_start_log(std::string const &file)
{
    auto loaded = load_settings(file);
    if (!loaded.ok())
    {
        return loaded;
    }
    auto const log = start_log(loaded->log_level, STDERR_FILENO);
    return log.ok() ? std::move(loaded) : absl::StatusOr<settings>(log);
}

} // namespace

int run_dev(std::vector<std::string> const &arguments)
{
    namespace po = boost::program_options;
    command_options options(
        "agateledge dev: daemons, stand-ins and a short load in one process");
    options.add()(
        "settings",
        po::value<std::string>()->default_value("examples/kerbrat.toml"),
        "TOML file of the deployment")(
        "load", po::value<int>()->default_value(0),
        "requests to send; with 0, serves until the process is killed")(
        "rate", po::value<double>()->default_value(40.0),
        "requests per second")("seed",
                               po::value<std::uint64_t>()->default_value(1),
                               "seed of the load");
    if (auto const code = options.parse(arguments))
    {
        return *code;
    }
    auto const &values = options.values();
    auto loaded = load_and_start_log(values["settings"].as<std::string>());
    if (!loaded.ok())
    {
        std::cerr << loaded.status().message() << "\n";
        return exit_usage;
    }
    dev_run run(*std::move(loaded), values["seed"].as<std::uint64_t>());
    if (auto const status = run.start(); !status.ok())
    {
        std::cerr << status.message() << "\n";
        return exit_failure;
    }
    auto const requests = values["load"].as<int>();
    if (requests == 0)
    {
        run.serve();
        return exit_success;
    }
    run.run(requests, values["rate"].as<double>());
    return run.print_summary();
}

} // namespace agateledge
