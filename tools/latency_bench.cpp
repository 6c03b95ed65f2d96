// Measures the overhead of the daemon compared with direct calls of the same
// engine stand-in: added latency at a fixed rate, CPU time per request,
// throughput and memory.
#include "bench_caller.hpp"
#include "bench_process.hpp"
#include "caller_directory.hpp"
#include "daemon_process.hpp"
#include "json_text.hpp"
#include "raise_descriptor_limit.hpp"
#include "raw_client.hpp"
#include "standin_engine_server.hpp"

#include <glib.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace
{

using namespace agateledge;

constexpr int latency_rate = 200;
constexpr duration latency_run_time = seconds(8);
constexpr duration throughput_time = seconds(5);
constexpr std::size_t throughput_callers = 32;
constexpr std::size_t open_streams = 2000;
constexpr int fast_engines = 2;
constexpr int slow_engines = 4;

std::string const headers =
    "Authorization: Bearer bench\r\nContent-Type: application/json\r\n";

duration clock_now()
{
    return std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch());
}

int port_of(std::string const &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

[[noreturn]] void run_loop()
{
    auto *loop = g_main_loop_new(nullptr, FALSE);
    g_main_loop_run(loop);
    _exit(0);
}

/// Starts an engine process. A fast engine answers without delay; a slow one
/// generates one token per second for each of its streams.
std::unique_ptr<bench_process> start_engine(std::string const &model, bool slow)
{
    return std::make_unique<bench_process>(
        [&](auto const &send_line)
        {
            raise_descriptor_limit();
            standin_engine_options options;
            options.name = model;
            options.model = model;
            options.max_batch = 4096;
            options.step_base = slow ? duration(seconds(1)) : duration(0);
            options.step_per_sequence = duration(0);
            options.prefill_tokens_per_second = 1e9;
            options.prefill_chunk_tokens = 1 << 20;
            options.kv_capacity_tokens = std::int64_t{1} << 40;
            standin_engine_server server(options);
            if (server.listen("127.0.0.1:0").ok())
            {
                send_line(server.address());
                run_loop();
            }
        });
}

void add_service(configuration &config, std::string const &name,
                 std::vector<std::unique_ptr<bench_process>> const &engines)
{
    config.services.push_back({name, false, name});
    request_class kind;
    kind.name = name;
    kind.service = name;
    kind.may_wait = true;
    config.classes.push_back(kind);
    for (auto const &process : engines)
    {
        engine_definition engine;
        engine.name = name + std::to_string(config.engines.size());
        engine.address = process->line();
        engine.data_centre = "bench";
        engine.service = name;
        engine.model = name;
        engine.kv_capacity_tokens = std::int64_t{1} << 40;
        config.engines.push_back(engine);
    }
}

std::unique_ptr<bench_process> start_daemon(configuration const &config)
{
    return std::make_unique<bench_process>(
        [&config](auto const &send_line)
        {
            raise_descriptor_limit();
            settings options;
            options.name = "bench";
            options.data_centre = "bench";
            options.caller_address = "127.0.0.1:0";
            options.operator_address = "127.0.0.1:0";
            options.peer_address = "127.0.0.1:0";
            options.table_address = "127.0.0.1:9";
            options.initial = config;
            daemon_process daemon(options, incarnation_number(1), 1);
            auto const status = daemon.start();
            if (!status.ok())
            {
                std::cerr << status.message() << "\n";
                return;
            }
            send_line(std::to_string(daemon.callers().acceptor().port()));
            run_loop();
        });
}

std::string caller_request(std::string const &model, int tokens)
{
    Json::Value body;
    body["model"] = model;
    body["stream"] = true;
    body["prompt"] = "len=" + std::to_string(tokens) + " where is hall 4?";
    body["max_tokens"] = tokens;
    return make_http_request("POST", "/v1/completions", headers,
                             json_to_text(body));
}

std::string engine_request()
{
    Json::Value body;
    body["stream"] = "direct";
    body["prompt"] = "len=1 where is hall 4?";
    body["prompt_tokens"] = 6;
    body["max_tokens"] = 1;
    body["seed"] = "1";
    return make_http_request("POST", "/v1/generate", headers,
                             json_to_text(body));
}

/// Sends requests alternately through the daemon and directly to the engine,
/// each at `latency_rate` requests per second.
void run_at_rate(bench_caller &daemon, bench_caller &direct)
{
    auto const interval = duration(seconds(1)) / (2 * latency_rate);
    auto const start = clock_now();
    auto next = start;
    bool through = true;
    while (clock_now() - start < latency_run_time)
    {
        if (clock_now() >= next)
        {
            (through ? daemon : direct).begin();
            through = !through;
            next += interval;
        }
        daemon.read(microseconds(20));
        direct.read(microseconds(20));
    }
}

void await_answers(bench_caller &caller)
{
    auto const start = clock_now();
    while (caller.open() > 0 && clock_now() - start < seconds(5))
    {
        caller.read(milliseconds(10));
    }
}

/// Keeps `throughput_callers` requests open for `throughput_time`.
///
/// @return number of completed answers
std::size_t run_closed_loop(bench_caller &caller)
{
    auto const start = clock_now();
    std::size_t completed = 0;
    while (clock_now() - start < throughput_time)
    {
        while (caller.open() < throughput_callers)
        {
            caller.begin();
        }
        completed += caller.read(milliseconds(10));
    }
    return completed;
}

/// Opens `open_streams` streams and reads until each has received bytes, for at
/// most 20 s.
void open_all_streams(bench_caller &caller)
{
    constexpr std::size_t per_round = 20;
    while (caller.open() < open_streams && caller.failed() == 0)
    {
        for (std::size_t i = 0; i < per_round; ++i)
        {
            caller.begin();
        }
        caller.read(milliseconds(5));
    }
    auto const start = clock_now();
    while (caller.begun() < open_streams && clock_now() - start < seconds(20))
    {
        caller.read(milliseconds(10));
    }
}

double percentile_ms(std::vector<duration> values, double share)
{
    if (values.empty())
    {
        return -1;
    }
    std::ranges::sort(values);
    auto const index = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    constexpr double us_per_ms = 1000;
    return static_cast<double>(values[index].count()) / us_per_ms;
}

void add_latency(Json::Value &out, bench_caller const &daemon,
                 bench_caller const &direct)
{
    for (auto const &[name, share] :
         {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}})
    {
        auto const through_ms = percentile_ms(daemon.latencies, share);
        auto const direct_ms = percentile_ms(direct.latencies, share);
        auto const text = std::string(name);
        out["daemon_" + text + "_ms"] = through_ms;
        out["direct_" + text + "_ms"] = direct_ms;
        out["added_" + text + "_ms"] = through_ms - direct_ms;
        out["ratio_" + text] = through_ms / direct_ms;
    }
    out["rate"] = latency_rate;
    out["latency_requests"] = Json::UInt64(daemon.latencies.size());
}

void measure_latency(Json::Value &out, int daemon_port, int engine_port)
{
    bench_caller through(daemon_port, caller_request("fast", 1));
    bench_caller direct(engine_port, engine_request());
    run_at_rate(through, direct);
    await_answers(through);
    await_answers(direct);
    add_latency(out, through, direct);
    out["failed"] = Json::UInt64(through.failed() + direct.failed());
}

void measure_throughput(Json::Value &out, int port, bench_process const &daemon)
{
    bench_caller caller(port, caller_request("fast", 1));
    auto const cpu_before = daemon.cpu_seconds();
    auto const completed = static_cast<double>(run_closed_loop(caller));
    auto const cpu = daemon.cpu_seconds() - cpu_before;
    await_answers(caller);
    constexpr double us_per_second = 1e6;
    out["requests_per_second"] = completed / to_seconds(throughput_time);
    out["requests_per_core_second"] = completed / cpu;
    out["cpu_us_per_request"] = cpu / completed * us_per_second;
    out["daemon_core_share"] = cpu / to_seconds(throughput_time);
    out["failed"] = Json::UInt64(out["failed"].asUInt64() + caller.failed());
}

void measure_memory(Json::Value &out, int port, bench_process const &daemon)
{
    constexpr double bytes_per_mb = 1024.0 * 1024.0;
    constexpr int long_answer_tokens = 600;
    out["idle_resident_mb"] =
        static_cast<double>(daemon.resident_bytes()) / bytes_per_mb;
    bench_caller caller(port, caller_request("slow", long_answer_tokens));
    auto const start = clock_now();
    open_all_streams(caller);
    out["open_streams_seconds"] = to_seconds(clock_now() - start);
    out["open_streams"] = Json::UInt64(caller.begun());
    out["resident_mb"] =
        static_cast<double>(daemon.resident_bytes()) / bytes_per_mb;
    out["failed"] = Json::UInt64(out["failed"].asUInt64() + caller.failed());
}

std::vector<std::unique_ptr<bench_process>>
start_engines(std::string const &model, int count, bool slow)
{
    std::vector<std::unique_ptr<bench_process>> engines;
    engines.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        engines.push_back(start_engine(model, slow));
    }
    return engines;
}

} // namespace

int main()
{
    raise_descriptor_limit();
    auto const fast = start_engines("fast", fast_engines, false);
    auto const slow = start_engines("slow", slow_engines, true);
    configuration config;
    config.revision = revision_number(1);
    add_service(config, "fast", fast);
    add_service(config, "slow", slow);
    config.callers = {{"bench", "bench", sha256_of("bench"), 0, 0}};
    auto const daemon = start_daemon(config);
    if (daemon->line().empty())
    {
        return 1;
    }
    auto const port = port_of(":" + daemon->line());
    Json::Value out;
    measure_latency(out, port, port_of(fast.front()->line()));
    measure_throughput(out, port, *daemon);
    measure_memory(out, port, *daemon);
    std::cout << json_to_text(out) << "\n";
    return out["failed"].asUInt64() == 0 ? 0 : 1;
}
