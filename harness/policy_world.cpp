#include "policy_world.hpp"

#include "apply_configuration.hpp"

namespace agateledge
{

world make_policy_world(std::vector<engine_role> const &roles)
{
    configuration config;
    config.revision = revision_number(1);
    config.services = {{"assistant", false, "manual"}};
    request_class kind;
    kind.name = "lookup";
    kind.service = "assistant";
    kind.first_token_deadline = milliseconds(850);
    kind.finish_deadline = seconds(20);
    config.classes = {kind};
    for (std::size_t i = 0; i < roles.size(); ++i)
    {
        engine_definition engine;
        engine.name = "engine-" + std::to_string(i);
        engine.address = engine.name;
        engine.data_centre = "here";
        engine.service = "assistant";
        engine.model = "manual";
        engine.role = roles[i];
        config.engines.push_back(std::move(engine));
    }
    world w({"daemon-0", incarnation_number(1), "here", "daemon-0"}, 1);
    activate_configuration(w, config);
    w.now = instant(seconds(100));
    w.candidates.rebuild(w.engines, w.now, w.config.revision);
    return w;
}

request_state make_policy_request(world const &w, std::uint64_t number,
                                  int prompt_tokens)
{
    request_state request;
    request.kind = w.config.classes.front();
    request.arrived_at = w.now;
    request.arrival.request = request_number(number);
    request.arrival.model = "manual";
    request.arrival.class_name = request.kind.name;
    request.arrival.prompt_tokens = prompt_tokens;
    request.arrival.max_output_tokens = 1000;
    return request;
}

load_report make_report(std::string engine, engine_role role, int running,
                        int prefill_tokens, duration age)
{
    load_report report;
    report.engine = std::move(engine);
    report.role = role;
    report.running = running;
    report.waiting_prefill_tokens = prefill_tokens;
    report.age = age;
    return report;
}

} // namespace agateledge
