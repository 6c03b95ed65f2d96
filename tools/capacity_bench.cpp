// Measures the control-plane cost of one daemon at several deployment sizes,
// fits a line to each series and prints the slopes as JSON. The daemon is
// represented by the production `world` and `tick`; its inputs are generated
// messages. Message sizes are the JSON body plus the HTTP/1.1 headers on a
// persistent connection.
#include "apply_configuration.hpp"
#include "configuration_json.hpp"
#include "json_text.hpp"
#include "standin_table.hpp"
#include "tick.hpp"
#include "world.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <numeric>

namespace
{

using namespace agateledge;

/// Headers of a signed JSON-RPC call and of its answer, in bytes: request
/// line, host, content type and length, sender, incarnation, counter and a
/// 64-digit signature; status line, date, content type and length.
constexpr double request_header_bytes = 330;
constexpr double response_header_bytes = 150;
constexpr duration heartbeat_interval = milliseconds(500);
constexpr int heartbeat_fan_out = 8;
constexpr duration load_interval = milliseconds(200);
constexpr duration run_length = seconds(30);
/// Load of one daemon at the target size: 1,400 requests/s over 380 daemons,
/// with 336 tokens per request at 40 ms per token, give 50 open streams per
/// daemon and 13 callers within the last 3.5 s.
constexpr int engines_with_local_work = 40;
constexpr int callers_with_demand = 13;

struct deployment_size
{
    int daemons = 0;
    int engines = 0;
    int accounts = 0;
};

/// Results of one run; rates are per second of the daemon's time.
struct measurement
{
    double tick_cpu_share = 0;
    double heartbeat_cpu_share = 0;
    double report_cpu_share = 0;
    double heartbeat_bytes = 0;
    double load_bytes = 0;
    double table_reads = 0;
    double table_writes = 0;
    double resident_bytes = 0;
    double document_bytes = 0;
    double parse_seconds = 0;
    double activation_seconds = 0;
    double peak_resident_bytes = 0;
    double compact_heartbeat_bytes = 0;
};

constexpr std::array cpu_time_members{
    &measurement::tick_cpu_share, &measurement::heartbeat_cpu_share,
    &measurement::report_cpu_share, &measurement::parse_seconds,
    &measurement::activation_seconds};

double cpu_seconds()
{
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) +
           static_cast<double>(value.tv_nsec) * 1e-9;
}

double resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double peak_resident_bytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double bytes_per_kibibyte = 1024;
    return static_cast<double>(usage.ru_maxrss) * bytes_per_kibibyte;
}

engine_definition make_engine(int index)
{
    engine_definition engine;
    engine.name = "engine-" + std::to_string(index);
    engine.address = "127.0.0.1:" + std::to_string(10000 + index);
    engine.data_centre = "centre-" + std::to_string(index % 11);
    engine.service = "service-" + std::to_string(index % 12);
    engine.model = "model-" + std::to_string(index % 12);
    engine.model_version = "2031-04-1";
    return engine;
}

caller_definition make_caller(int index)
{
    auto const number = std::to_string(index);
    return {"caller-" + number, "account-" + number, std::string(64, 'a'), 5.0,
            20.0};
}

configuration make_configuration(deployment_size const &size)
{
    configuration config;
    config.revision = revision_number(1);
    for (int i = 0; i < 12; ++i)
    {
        auto const name = "service-" + std::to_string(i);
        config.services.push_back({name, false, "model-" + std::to_string(i)});
        request_class kind;
        kind.name = "class-" + std::to_string(i);
        kind.service = name;
        config.classes.push_back(kind);
    }
    for (int i = 0; i < size.engines; ++i)
    {
        config.engines.push_back(make_engine(i));
    }
    for (int i = 0; i < size.accounts; ++i)
    {
        config.callers.push_back(make_caller(i));
    }
    return config;
}

heartbeat make_heartbeat(int peer, std::uint64_t sequence,
                         deployment_size const &size)
{
    heartbeat out;
    out.from = "daemon-" + std::to_string(peer);
    out.incarnation = incarnation_number(1700000000000000);
    out.data_centre = "centre-" + std::to_string(peer % 11);
    out.address = "127.0.0.1:" + std::to_string(20000 + peer);
    out.sequence = sequence;
    out.revision = revision_number(1);
    out.revision_age_us = 500000;
    for (int i = 0; i < std::min(engines_with_local_work, size.engines); ++i)
    {
        auto const engine = (peer + i * 7) % size.engines;
        out.shares.push_back(
            {"engine-" + std::to_string(engine), 2, 512 * (i % 4), 1});
    }
    for (int i = 0; i < std::min(callers_with_demand, size.accounts); ++i)
    {
        auto const caller = (peer * 31 + i * 97) % size.accounts;
        out.demand.push_back({"caller-" + std::to_string(caller),
                              "class-" + std::to_string(i % 12), 1.25});
    }
    return out;
}

Json::Value heartbeat_document(heartbeat const &value)
{
    Json::Value out;
    out["jsonrpc"] = "2.0";
    out["method"] = "heartbeat";
    out["from"] = value.from;
    out["incarnation"] = Json::UInt64(value.incarnation.value());
    out["data_centre"] = value.data_centre;
    out["address"] = value.address;
    out["sequence"] = Json::UInt64(value.sequence);
    out["revision"] = Json::UInt64(value.revision.value());
    out["revision_age_us"] = Json::Int64(value.revision_age_us);
    out["draining"] = value.draining;
    for (auto const &share : value.shares)
    {
        Json::Value item;
        item["engine"] = share.engine;
        item["requests"] = share.requests;
        item["prefill_tokens"] = share.prefill_tokens;
        item["decode_requests"] = share.decode_requests;
        out["shares"].append(item);
    }
    for (auto const &demand : value.demand)
    {
        Json::Value item;
        item["caller"] = demand.caller;
        item["class"] = demand.class_name;
        item["requests_per_second"] = demand.requests_per_second;
        out["demand"].append(item);
    }
    return out;
}

load_report make_report(int engine, std::uint64_t generation)
{
    load_report out;
    out.engine = "engine-" + std::to_string(engine);
    out.age = milliseconds(300);
    out.running = 20 + engine % 12;
    out.waiting = engine % 5;
    out.waiting_prefill_tokens = 900 * (engine % 5);
    out.kv_tokens_used = 120000;
    out.model = "model-" + std::to_string(engine % 12);
    out.model_version = "2031-04-1";
    out.generation = generation;
    out.last_order = "daemon-17:1700000000000000:12";
    return out;
}

std::string report_document(load_report const &report)
{
    Json::Value out;
    out["running"] = report.running;
    out["waiting"] = report.waiting;
    out["waiting_prefill_tokens"] = report.waiting_prefill_tokens;
    out["kv_tokens_used"] = Json::Int64(report.kv_tokens_used);
    out["role"] = std::string(name_of(report.role));
    out["model"] = report.model;
    out["model_version"] = report.model_version;
    out["generation"] = Json::UInt64(report.generation);
    out["ready"] = report.ready;
    out["last_order"] = report.last_order;
    return json_to_text(out);
}

/// Size of the compact message proposed in docs/CAPACITY.md: the open work of
/// all daemons of a data centre on each of its engines, as rows of numbers in
/// the order of the configuration, and the caller demand.
double compact_heartbeat_bytes(deployment_size const &size)
{
    Json::Value out;
    out["from"] = "daemon-17";
    out["incarnation"] = Json::UInt64(1700000000000000);
    out["sequence"] = 171717;
    out["revision"] = 2100;
    out["revision_age_us"] = 500000;
    for (int i = 0; i < size.engines; ++i)
    {
        Json::Value row;
        row.append(20 + i % 12);
        row.append(900 * (i % 5));
        row.append(18 + i % 12);
        out["shares"].append(row);
    }
    for (int i = 0; i < std::min(callers_with_demand, size.accounts); ++i)
    {
        Json::Value row;
        row.append(i * 1999);
        row.append(i % 12);
        row.append(1.25);
        out["demand"].append(row);
    }
    return static_cast<double>(json_to_text(out).size()) + request_header_bytes;
}

/// Runs one daemon on generated input for `run_length` and measures its cost.
class control_run
{
public:
    explicit control_run(deployment_size size)
        : size_(size), world_(daemon_identity{"daemon-0", incarnation_number(1),
                                              "centre-0", "127.0.0.1:20000"},
                              1)
    {
    }

    measurement run()
    {
        malloc_trim(0);
        auto const resident_before = resident_bytes();
        load_configuration();
        for (duration at{}; at < run_length; at += milliseconds(100))
        {
            send_input(at);
            run_tick(instant(at));
        }
        auto const length = to_seconds(run_length);
        result_.tick_cpu_share /= length;
        result_.heartbeat_cpu_share /= length;
        result_.report_cpu_share /= length;
        result_.heartbeat_bytes /= length;
        result_.load_bytes /= length;
        result_.table_reads = static_cast<double>(table_.reads()) / length;
        result_.table_writes = static_cast<double>(table_.writes()) / length;
        result_.resident_bytes = resident_bytes() - resident_before;
        result_.peak_resident_bytes = peak_resident_bytes();
        result_.compact_heartbeat_bytes = compact_heartbeat_bytes(size_);
        return result_;
    }

private:
    void load_configuration()
    {
        auto const text = configuration_to_json(make_configuration(size_));
        auto const start = cpu_seconds();
        auto const parsed = configuration_from_json(text);
        auto const parsed_at = cpu_seconds();
        activate_configuration(world_, *parsed);
        result_.activation_seconds = cpu_seconds() - parsed_at;
        result_.parse_seconds = parsed_at - start;
        result_.document_bytes = static_cast<double>(text.size());
    }

    void send_input(duration at)
    {
        if (at % heartbeat_interval == duration(0))
        {
            send_heartbeats();
        }
        if (at % load_interval == duration(0))
        {
            send_load_reports(static_cast<std::uint64_t>(at / load_interval));
        }
    }

    /// The daemon receives as many calls as it sends; each call and each answer
    /// is one heartbeat.
    void send_heartbeats()
    {
        auto const calls = std::min(heartbeat_fan_out, size_.daemons - 1);
        for (int i = 0; i < 2 * calls; ++i)
        {
            next_peer_ = next_peer_ % (size_.daemons - 1) + 1;
            auto message = make_heartbeat(next_peer_, ++sequence_, size_);
            auto const document = json_to_text(heartbeat_document(message));
            auto const start = cpu_seconds();
            auto const value = json_from_text(document);
            auto const answer = json_to_text(heartbeat_document(message));
            result_.heartbeat_cpu_share += cpu_seconds() - start;
            result_.heartbeat_bytes +=
                static_cast<double>(document.size() + answer.size()) +
                request_header_bytes + response_header_bytes;
            world_.in.heartbeats.push_back(std::move(message));
        }
    }

    void send_load_reports(std::uint64_t generation)
    {
        for (int i = 0; i < size_.engines; ++i)
        {
            auto report = make_report(i, generation);
            auto const document = report_document(report);
            constexpr double plain_request_bytes = 110;
            result_.load_bytes += static_cast<double>(document.size()) +
                                  plain_request_bytes + response_header_bytes;
            auto const start = cpu_seconds();
            auto const value = json_from_text(document);
            result_.report_cpu_share += cpu_seconds() - start;
            world_.in.load_reports.push_back(std::move(report));
        }
    }

    void run_tick(instant now)
    {
        auto const start = cpu_seconds();
        tick(world_, now);
        result_.tick_cpu_share += cpu_seconds() - start;
        auto const out = std::exchange(world_.out, {});
        std::ranges::transform(
            out.table_calls, std::back_inserter(world_.in.table_replies),
            [this](table_call const &call) { return table_.apply(call); });
    }

    deployment_size size_;
    world world_;
    standin_table table_;
    measurement result_;
    int next_peer_ = 0;
    std::uint64_t sequence_ = 0;
};

/// Measures one size in a child process, because memory freed by an earlier
/// size would otherwise be reused and hide the memory use of this one.
measurement run_in_child(deployment_size size)
{
    std::array<int, 2> pipe_ends{};
    if (pipe(pipe_ends.data()) != 0)
    {
        std::perror("pipe");
        std::exit(1);
    }
    auto const child = fork();
    if (child == 0)
    {
        auto const result = control_run(size).run();
        bool const sent =
            write(pipe_ends[1], &result, sizeof result) == sizeof result;
        _exit(sent ? 0 : 1);
    }
    measurement result;
    bool const received =
        read(pipe_ends[0], &result, sizeof result) == sizeof result;
    int status = 0;
    waitpid(child, &status, 0);
    close(pipe_ends[0]);
    close(pipe_ends[1]);
    if (!received || status != 0)
    {
        std::fputs("capacity_bench: a measurement process failed\n", stderr);
        std::exit(1);
    }
    return result;
}

/// Fits a line to the points by least squares.
///
/// @return slope, value at 0, largest absolute value, and the largest distance
///         of a point from the line relative to that value
Json::Value fit_line(std::vector<double> const &x, std::vector<double> const &y)
{
    auto const count = static_cast<double>(x.size());
    auto const mean_x = std::accumulate(x.begin(), x.end(), 0.0) / count;
    auto const mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count;
    double covariance = 0;
    double variance = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        covariance += (x[i] - mean_x) * (y[i] - mean_y);
        variance += (x[i] - mean_x) * (x[i] - mean_x);
    }
    auto const slope = variance > 0 ? covariance / variance : 0;
    auto const intercept = mean_y - slope * mean_x;
    double max_error = 0;
    double largest = 0;
    for (std::size_t i = 0; i < x.size(); ++i)
    {
        max_error =
            std::max(max_error, std::abs(intercept + slope * x[i] - y[i]));
        largest = std::max(largest, std::abs(y[i]));
    }
    Json::Value out;
    out["slope"] = slope;
    out["at_zero"] = intercept;
    out["worst_error"] = largest > 0 ? max_error / largest : 0;
    out["largest"] = largest;
    return out;
}

/// Repeats a run and keeps the lowest CPU times, because other programs on the
/// machine can only increase them.
measurement run_repeated(deployment_size size)
{
    constexpr int repeats = 3;
    auto best = run_in_child(size);
    for (int i = 1; i < repeats; ++i)
    {
        auto const next = run_in_child(size);
        for (auto const value : cpu_time_members)
        {
            best.*value = std::min(best.*value, next.*value);
        }
    }
    return best;
}

/// Sizes that differ in one member of `deployment_size`.
struct series
{
    char const *name;
    std::vector<deployment_size> sizes;
    int deployment_size::*varied;
};

/// Measured value and its name in the output.
struct quantity
{
    char const *name;
    double measurement::*value;
};

constexpr std::array quantities{
    quantity{"tick_cpu_share", &measurement::tick_cpu_share},
    quantity{"heartbeat_json_cpu_share", &measurement::heartbeat_cpu_share},
    quantity{"report_json_cpu_share", &measurement::report_cpu_share},
    quantity{"heartbeat_bytes_per_s", &measurement::heartbeat_bytes},
    quantity{"load_bytes_per_s", &measurement::load_bytes},
    quantity{"table_reads_per_s", &measurement::table_reads},
    quantity{"table_writes_per_s", &measurement::table_writes},
    quantity{"resident_bytes", &measurement::resident_bytes},
    quantity{"peak_resident_bytes", &measurement::peak_resident_bytes},
    quantity{"compact_heartbeat_bytes", &measurement::compact_heartbeat_bytes},
    quantity{"document_bytes", &measurement::document_bytes},
    quantity{"document_parse_s", &measurement::parse_seconds},
    quantity{"document_in_force_s", &measurement::activation_seconds},
};

Json::Value run_series(series const &plan)
{
    std::vector<double> x;
    std::vector<measurement> results;
    for (auto const &size : plan.sizes)
    {
        x.push_back(size.*plan.varied);
        results.push_back(run_repeated(size));
    }
    Json::Value out;
    for (auto const &item : quantities)
    {
        std::vector<double> y;
        std::ranges::transform(results, std::back_inserter(y),
                               [&item](measurement const &result)
                               { return result.*item.value; });
        out[item.name] = fit_line(x, y);
    }
    std::ranges::for_each(x,
                          [&out](double value) { out["sizes"].append(value); });
    return out;
}

} // namespace

int main()
{
    std::vector<series> const plans{
        {"daemons",
         {{35, 55, 2000}, {95, 55, 2000}, {190, 55, 2000}, {380, 55, 2000}},
         &deployment_size::daemons},
        {"engines",
         {{35, 55, 2000}, {35, 150, 2000}, {35, 300, 2000}, {35, 600, 2000}},
         &deployment_size::engines},
        {"accounts",
         {{35, 55, 2000}, {35, 55, 6500}, {35, 55, 13000}, {35, 55, 26000}},
         &deployment_size::accounts}};
    Json::Value out;
    for (auto const &plan : plans)
    {
        out[plan.name] = run_series(plan);
    }
    std::puts(json_to_text(out).c_str());
    return 0;
}
