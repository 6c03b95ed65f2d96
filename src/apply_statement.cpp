#include "apply_statement.hpp"

#include "result_code.hpp"
#include "statement_text.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace agateledge
{

namespace
{

absl::Status refuse(std::string const &message)
{
    return make_status(result_code::invalid_change, message);
}

/// Finds an item by name.
template <class Item>
Item *find_named(std::vector<Item> &items, std::string const &name)
{
    auto const found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

request_class *find_class(configuration &config, std::string const &service,
                          std::string const &name)
{
    auto const found = std::ranges::find_if(
        config.classes, [&](request_class const &kind)
        { return kind.name == name && kind.service == service; });
    return found == config.classes.end() ? nullptr : &*found;
}

bool takes_work(engine_definition const &engine)
{
    return !engine.draining && !engine.withdrawn;
}

/// @return true when no engine but `leaving` takes work of the service
bool is_last_engine(configuration const &config,
                    engine_definition const &leaving)
{
    return !leaving.service.empty() && takes_work(leaving) &&
           std::ranges::none_of(config.engines,
                                [&leaving](engine_definition const &engine)
                                {
                                    return engine.name != leaving.name &&
                                           engine.service == leaving.service &&
                                           takes_work(engine);
                                });
}

bool is_last_endpoint(configuration const &config,
                      endpoint_definition const &leaving)
{
    return !leaving.draining &&
           std::ranges::none_of(config.endpoints,
                                [&leaving](endpoint_definition const &endpoint)
                                {
                                    return endpoint.name != leaving.name &&
                                           endpoint.service ==
                                               leaving.service &&
                                           !endpoint.draining;
                                });
}

absl::Status check_not_last(configuration const &config,
                            engine_definition const &engine)
{
    if (!is_last_engine(config, engine))
    {
        return absl::OkStatus();
    }
    return refuse("engine \"" + engine.name +
                  "\" is the last one that takes work of service \"" +
                  engine.service + "\"");
}

std::string host_of(std::string const &address)
{
    return address.substr(0, address.rfind(':'));
}

/// Makes one change in place.
class change_maker
{
public:
    explicit change_maker(configuration &config) : config_(config) {}

    absl::Status operator()(create_service const &change)
    {
        if (find_named(config_.services, change.name) != nullptr)
        {
            return refuse("service \"" + change.name + "\" exists");
        }
        config_.services.push_back({change.name, change.plain, change.model});
        return absl::OkStatus();
    }

    absl::Status operator()(drop_service const &change)
    {
        if (find_named(config_.services, change.name) == nullptr)
        {
            return unknown("service", change.name);
        }
        auto const of_service = [&change](auto const &item)
        { return item.service == change.name; };
        if (std::ranges::any_of(config_.classes, of_service))
        {
            return refuse("service \"" + change.name +
                          "\" still has classes; drop them first");
        }
        if (std::ranges::any_of(config_.engines, of_service) ||
            std::ranges::any_of(config_.endpoints, of_service))
        {
            return refuse("service \"" + change.name +
                          "\" still has engines or endpoints");
        }
        std::erase_if(config_.services,
                      [&change](service_definition const &service)
                      { return service.name == change.name; });
        return absl::OkStatus();
    }

    absl::Status operator()(set_class const &change)
    {
        if (find_named(config_.services, change.service) == nullptr)
        {
            return unknown("service", change.service);
        }
        auto *kind = find_class(config_, change.service, change.name);
        if (kind == nullptr)
        {
            kind = &config_.classes.emplace_back();
            kind->name = change.name;
            kind->service = change.service;
        }
        std::ranges::for_each(change.settings,
                              [kind](class_setting const &setting)
                              { set_field(*kind, setting); });
        return absl::OkStatus();
    }

    absl::Status operator()(drop_class const &change)
    {
        if (find_class(config_, change.service, change.name) == nullptr)
        {
            return unknown("class", change.name);
        }
        std::erase_if(config_.classes,
                      [&change](request_class const &kind) {
                          return kind.name == change.name &&
                                 kind.service == change.service;
                      });
        return absl::OkStatus();
    }

    absl::Status operator()(assign_engine const &change)
    {
        auto const *service = find_named(config_.services, change.service);
        if (service == nullptr)
        {
            return unknown("service", change.service);
        }
        if (service->plain)
        {
            return refuse("service \"" + change.service +
                          "\" is plain and takes no engines");
        }
        auto *engine = find_named(config_.engines, change.engine);
        if (engine == nullptr && change.address.empty())
        {
            return refuse("engine \"" + change.engine +
                          "\" is new; say \"at ADDRESS in DATA_CENTRE\"");
        }
        if (engine != nullptr && engine->service != change.service)
        {
            auto status = check_not_last(config_, *engine);
            if (!status.ok())
            {
                return status;
            }
        }
        store_assignment(change, service->model, engine);
        return absl::OkStatus();
    }

    absl::Status operator()(release_engine const &change)
    {
        return with_engine(change.engine, true,
                           [](engine_definition &engine)
                           { engine.service.clear(); });
    }

    absl::Status operator()(set_limit const &change)
    {
        auto *caller = find_named(config_.callers, change.caller);
        if (caller == nullptr)
        {
            return unknown("caller", change.caller);
        }
        caller->requests_per_second = change.rate;
        caller->burst = change.burst.value_or(caller->burst);
        return absl::OkStatus();
    }

    absl::Status operator()(set_drain const &change)
    {
        switch (change.target)
        {
        case drain_target::engine:
            return with_engine(change.name, change.draining,
                               [&change](engine_definition &engine)
                               { engine.draining = change.draining; });
        case drain_target::endpoint:
            return drain_endpoint(change);
        case drain_target::host:
            return drain_host(change);
        }
        return absl::OkStatus();
    }

    absl::Status operator()(set_withdrawn const &change)
    {
        return with_engine(change.engine, change.withdrawn,
                           [&change](engine_definition &engine)
                           { engine.withdrawn = change.withdrawn; });
    }

private:
    static absl::Status unknown(std::string const &kind,
                                std::string const &name)
    {
        return refuse("no " + kind + " \"" + name + "\"");
    }

    static void set_field(request_class &kind, class_setting const &setting)
    {
        auto const whole = static_cast<std::int64_t>(setting.value);
        switch (setting.field)
        {
        case class_field::priority:
            kind.priority = static_cast<int>(whole);
            return;
        case class_field::first_token:
            kind.first_token_deadline = duration(whole);
            return;
        case class_field::token_interval:
            kind.token_interval_deadline = duration(whole);
            return;
        case class_field::finish:
            kind.finish_deadline = duration(whole);
            return;
        case class_field::weight:
            kind.weight = setting.value;
            return;
        case class_field::may_wait:
            kind.may_wait = whole != 0;
            return;
        case class_field::expected_output:
            kind.expected_output_tokens = static_cast<int>(whole);
            return;
        }
    }

    void store_assignment(assign_engine const &change, std::string const &model,
                          engine_definition *engine)
    {
        if (engine == nullptr)
        {
            engine = &config_.engines.emplace_back();
            engine->name = change.engine;
        }
        if (!change.address.empty())
        {
            engine->address = change.address;
            engine->data_centre = change.data_centre;
        }
        engine->service = change.service;
        engine->model = model;
        engine->role = change.role.value_or(engine->role);
        if (!change.version.empty())
        {
            engine->model_version = change.version;
        }
    }

    /// @param leaves true when the change takes the engine from its service
    template <class Edit>
    absl::Status with_engine(std::string const &name, bool leaves, Edit edit)
    {
        auto *engine = find_named(config_.engines, name);
        if (engine == nullptr)
        {
            return unknown("engine", name);
        }
        auto status =
            leaves ? check_not_last(config_, *engine) : absl::OkStatus();
        if (status.ok())
        {
            edit(*engine);
        }
        return status;
    }

    absl::Status drain_endpoint(set_drain const &change)
    {
        auto *endpoint = find_named(config_.endpoints, change.name);
        if (endpoint == nullptr)
        {
            return unknown("endpoint", change.name);
        }
        if (change.draining && is_last_endpoint(config_, *endpoint))
        {
            return refuse("endpoint \"" + change.name +
                          "\" is the last one of service \"" +
                          endpoint->service + "\"");
        }
        endpoint->draining = change.draining;
        return absl::OkStatus();
    }

    absl::Status drain_host(set_drain const &change)
    {
        std::vector<set_drain> parts;
        collect_on_host(config_.engines, drain_target::engine, change, parts);
        collect_on_host(config_.endpoints, drain_target::endpoint, change,
                        parts);
        if (parts.empty())
        {
            return unknown("engine or endpoint on host", change.name);
        }
        for (auto const &part : parts)
        {
            auto status = (*this)(part);
            if (!status.ok())
            {
                return status;
            }
        }
        return absl::OkStatus();
    }

    template <class Item>
    static void collect_on_host(std::vector<Item> const &items,
                                drain_target kind, set_drain const &change,
                                std::vector<set_drain> &parts)
    {
        for (auto const &item : items)
        {
            if (host_of(item.address) == change.name)
            {
                parts.push_back({kind, item.name, change.draining});
            }
        }
    }

    configuration &config_;
};

/// Bounds of the fields that `class_setting` leaves open.
absl::Status check_values(configuration_change const &change)
{
    auto const *kind = std::get_if<set_class>(&change);
    if (kind == nullptr)
    {
        return absl::OkStatus();
    }
    constexpr double largest_int = 1e6;
    for (auto const &setting : kind->settings)
    {
        bool const counted = setting.field == class_field::priority ||
                             setting.field == class_field::expected_output;
        if (counted && setting.value > largest_int)
        {
            return refuse("priority and expected_output are at most 1000000");
        }
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<configuration>
apply_statement(configuration const &base,
                std::vector<configuration_change> const &changes)
{
    auto config = base;
    change_maker maker(config);
    for (auto const &change : changes)
    {
        auto status = check_values(change);
        if (status.ok())
        {
            status = std::visit(maker, change);
        }
        if (!status.ok())
        {
            return refuse("\"" + to_text(change) +
                          "\": " + std::string(status.message()));
        }
    }
    return config;
}

} // namespace agateledge
