#include "run_ctl.hpp"

#include "command_options.hpp"
#include "http_client.hpp"
#include "json_text.hpp"
#include "resolve_address.hpp"

#include <glib.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>

namespace agateledge
{

namespace
{

/// The token is passed in the environment because process lists show command
/// lines.
constexpr char const *token_variable = "AGATELEDGE_TOKEN";
constexpr duration answer_timeout = seconds(30);

struct main_loop_unref
{
    void operator()(GMainLoop *loop) const { g_main_loop_unref(loop); }
};

http_request make_request(std::string const &address, std::string const &token,
                          std::string const &statement)
{
    Json::Value body;
    body["text"] = statement;
    http_request request;
    request.method = "POST";
    request.address = address;
    request.path = "/v1/statements";
    request.headers.emplace_back("Authorization", "Bearer " + token);
    request.body = std::make_shared<std::string const>(json_to_text(body));
    request.total_timeout = answer_timeout;
    return request;
}

http_reply send_and_wait(http_request const &request)
{
    std::unique_ptr<GMainLoop, main_loop_unref> const loop(
        g_main_loop_new(nullptr, FALSE));
    http_client client;
    http_reply answer;
    client.send(request,
                [&](http_reply const &reply)
                {
                    answer = reply;
                    g_main_loop_quit(loop.get());
                });
    g_main_loop_run(loop.get());
    return answer;
}

std::optional<std::string>
read_statement(boost::program_options::variables_map const &values)
{
    if (values.count("statement") != 0)
    {
        return values["statement"].as<std::string>();
    }
    if (values.count("file") == 0)
    {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(values["file"].as<std::string>());
    if (!file)
    {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

int print_answer(std::string const &address, http_reply const &reply)
{
    if (reply.outcome != http_outcome::answered)
    {
        std::cerr << address << ": no answer from the daemon"
                  << (reply.outcome == http_outcome::failed_after_send
                          ? "; the statement may have been executed"
                          : "; the statement was not sent")
                  << "\n";
        return exit_failure;
    }
    constexpr int http_ok = 200;
    bool const ok = reply.status == http_ok;
    (ok ? std::cout : std::cerr) << reply.body << "\n";
    return ok ? exit_success : exit_failure;
}

} // namespace

int run_ctl(std::vector<std::string> const &arguments)
{
    namespace po = boost::program_options;
    command_options options(
        "agateledge ctl: sends a statement to a daemon; the operator's token "
        "is in AGATELEDGE_TOKEN");
    options.add()("address",
                  po::value<std::string>()->default_value("127.0.0.1:8081"),
                  "operators' listener of a daemon")(
        "statement", po::value<std::string>(), "statement to send")(
        "file", po::value<std::string>(),
        "file with the statement; standard input is read when neither a file "
        "nor a statement is given");
    options.set_positional("statement");
    if (auto const code = options.parse(arguments))
    {
        return *code;
    }
    auto const *token = std::getenv(token_variable);
    auto const statement = read_statement(options.values());
    if (token == nullptr || !statement)
    {
        std::cerr << (token == nullptr ? "AGATELEDGE_TOKEN is not set"
                                       : "the statement file cannot be opened")
                  << "\n";
        return exit_usage;
    }
    auto const address = options.values()["address"].as<std::string>();
    return print_answer(address,
                        send_and_wait(make_request(resolve_address(address),
                                                   token, *statement)));
}

} // namespace agateledge
