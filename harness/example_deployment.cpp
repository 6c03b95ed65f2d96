#include "example_deployment.hpp"

#include "internal_assert.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

request_class make_class(std::string name, std::string service, int priority,
                         duration finish_deadline)
{
    request_class out;
    out.name = std::move(name);
    out.service = std::move(service);
    out.priority = priority;
    out.finish_deadline = finish_deadline;
    return out;
}

void add_engines(example_deployment &example, std::string const &service,
                 int count)
{
    for (int i = 0; i < count; ++i)
    {
        engine_definition engine;
        engine.name = "engine-" + std::to_string(i + 1);
        engine.address = engine.name;
        engine.data_centre = example.data_centres.at(
            static_cast<std::size_t>(i) % example.data_centres.size());
        engine.service = service;
        engine.model = example.model;
        engine.checks_fencing = i % 3 != 2;
        example.config.engines.push_back(std::move(engine));
    }
}

void add_endpoints(example_deployment &example, int count)
{
    for (int i = 0; i < count; ++i)
    {
        auto const name = "desk-" + std::to_string(i + 1);
        example.config.endpoints.push_back(
            {name, name,
             example.data_centres.at(static_cast<std::size_t>(i) %
                                     example.data_centres.size()),
             example.booking_service, false});
    }
}

example_deployment make_kerbrat()
{
    example_deployment out;
    out.data_centres = {"rennes-a", "rennes-b", "brest", "vannes"};
    out.model = "manual-assistant";
    out.booking_service = "booking-desk";
    out.has_status_checks = true;
    out.config.services = {{"assistant", false, out.model},
                           {out.booking_service, true, ""}};
    auto manual = make_class("full-manual", "assistant", 2, seconds(120));
    manual.may_wait = true;
    out.config.classes = {
        manual, make_class("chapter-lookup", "assistant", 1, seconds(15)),
        make_class("form-hint", "assistant", 0, seconds(5)),
        make_class("booking", out.booking_service, 0, seconds(5)),
        make_class("status-check", out.booking_service, 1, seconds(2))};
    out.shapes = {{"full-manual", 6000, 60},
                  {"chapter-lookup", 1500, 30},
                  {"form-hint", 200, 8}};
    add_engines(out, "assistant", 6);
    add_endpoints(out, 4);
    return out;
}

example_deployment make_bellhaven()
{
    example_deployment out;
    out.data_centres = {"mobile-a", "mobile-b", "mobile-c"};
    out.model = "farrier";
    out.booking_service = "booking";
    out.config.services = {{"rounds", false, out.model},
                           {out.booking_service, true, ""}};
    auto history = make_class("read-history", "rounds", 2, seconds(60));
    history.may_wait = true;
    out.config.classes = {
        history, make_class("draft-round", "rounds", 1, seconds(30)),
        make_class("arrival-notice", "rounds", 1, seconds(8)),
        make_class("farrier-call", "rounds", 0, seconds(5)),
        make_class("booking", out.booking_service, 0, seconds(5))};
    out.shapes = {{"read-history", 5000, 25},
                  {"draft-round", 900, 80},
                  {"arrival-notice", 150, 20},
                  {"farrier-call", 300, 10}};
    add_engines(out, "rounds", 5);
    add_endpoints(out, 3);
    return out;
}

} // namespace

example_deployment make_example_deployment(std::string const &name)
{
    internal_assert(name == "kerbrat" || name == "bellhaven",
                    "unknown example deployment \"", name, "\"");
    auto out = name == "kerbrat" ? make_kerbrat() : make_bellhaven();
    out.config.revision = revision_number(1);
    out.config.policy.drain_timeout = seconds(3);
    return out;
}

} // namespace agateledge
