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

template <class Item>
Item *find_by_name(std::vector<Item> &items, std::string const &name)
{
    auto const found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

request_class *find_class(configuration &config, std::string const &service,
                          std::string const &name)
{
    auto const found = std::ranges::find_if(
        config.classes, [&](request_class const &item)
        { return item.name == name && item.service == service; });
    return found == config.classes.end() ? nullptr : &*found;
}

bool takes_work(engine_definition const &engine)
{
    return !engine.draining && !engine.withdrawn;
}

/// @return true if `leaving` is the only engine that accepts work for its
///         service
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
                  "\" is the only one that accepts work for service \"" +
                  engine.service + "\"");
}

std::string host_of(std::string const &address)
{
    return address.substr(0, address.rfind(':'));
}

/// Applies one change to a configuration in place.
class change_applier
{
public:
    explicit change_applier(configuration &config) : config_(config) {}

    absl::Status operator()(create_service const &change)
    {
        if (find_by_name(config_.services, change.name) != nullptr)
        {
            return refuse("service \"" + change.name + "\" already exists");
        }
        config_.services.push_back({change.name, change.plain, change.model});
        return absl::OkStatus();
    }

    absl::Status operator()(drop_service const &change)
    {
        if (find_by_name(config_.services, change.name) == nullptr)
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
        if (find_by_name(config_.services, change.service) == nullptr)
        {
            return unknown("service", change.service);
        }
        auto *target = find_class(config_, change.service, change.name);
        if (target == nullptr)
        {
            target = &config_.classes.emplace_back();
            target->name = change.name;
            target->service = change.service;
        }
        std::ranges::for_each(change.settings,
                              [target](class_setting const &setting)
                              { set_field(*target, setting); });
        return absl::OkStatus();
    }

    absl::Status operator()(drop_class const &change)
    {
        if (find_class(config_, change.service, change.name) == nullptr)
        {
            return unknown("class", change.name);
        }
        std::erase_if(config_.classes,
                      [&change](request_class const &item) {
                          return item.name == change.name &&
                                 item.service == change.service;
                      });
        return absl::OkStatus();
    }

    absl::Status operator()(assign_engine const &change)
    {
        auto const *service = find_by_name(config_.services, change.service);
        if (service == nullptr)
        {
            return unknown("service", change.service);
        }
        if (service->plain)
        {
            return refuse("service \"" + change.service +
                          "\" is plain and cannot have engines");
        }
        auto *engine = find_by_name(config_.engines, change.engine);
        if (engine == nullptr && change.address.empty())
        {
            return refuse(
                "engine \"" + change.engine +
                "\" is not configured; add \"at ADDRESS in DATA_CENTRE\"");
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
        return edit_engine(change.engine, true,
                           [](engine_definition &engine)
                           { engine.service.clear(); });
    }

    absl::Status operator()(set_limit const &change)
    {
        auto *caller = find_by_name(config_.callers, change.caller);
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
            return edit_engine(change.name, change.draining,
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
        return edit_engine(change.engine, change.withdrawn,
                           [&change](engine_definition &engine)
                           { engine.withdrawn = change.withdrawn; });
    }

private:
    static absl::Status unknown(std::string const &kind,
                                std::string const &name)
    {
        return refuse("no " + kind + " \"" + name + "\"");
    }

    static void set_field(request_class &target, class_setting const &setting)
    {
        auto const integer = static_cast<std::int64_t>(setting.value);
        switch (setting.field)
        {
        case class_field::priority:
            target.priority = static_cast<int>(integer);
            return;
        case class_field::first_token:
            target.first_token_deadline = duration(integer);
            return;
        case class_field::token_interval:
            target.token_interval_deadline = duration(integer);
            return;
        case class_field::finish:
            target.finish_deadline = duration(integer);
            return;
        case class_field::weight:
            target.weight = setting.value;
            return;
        case class_field::may_wait:
            target.may_wait = integer != 0;
            return;
        case class_field::expected_output:
            target.expected_output_tokens = static_cast<int>(integer);
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

    /// Edits a configured engine.
    ///
    /// @param stops_work true if the engine accepts no more work of its service
    ///        after the edit
    /// @return `invalid_change` for an unknown engine and, with `stops_work`,
    ///         for the last engine of a service
    template <class Edit>
    absl::Status edit_engine(std::string const &name, bool stops_work,
                             Edit edit)
    {
        auto *engine = find_by_name(config_.engines, name);
        if (engine == nullptr)
        {
            return unknown("engine", name);
        }
        auto status =
            stops_work ? check_not_last(config_, *engine) : absl::OkStatus();
        if (status.ok())
        {
            edit(*engine);
        }
        return status;
    }

    absl::Status drain_endpoint(set_drain const &change)
    {
        auto *endpoint = find_by_name(config_.endpoints, change.name);
        if (endpoint == nullptr)
        {
            return unknown("endpoint", change.name);
        }
        if (change.draining && is_last_endpoint(config_, *endpoint))
        {
            return refuse(
                "endpoint \"" + change.name +
                "\" is the only one that accepts work for service \"" +
                endpoint->service + "\"");
        }
        endpoint->draining = change.draining;
        return absl::OkStatus();
    }

    absl::Status drain_host(set_drain const &change)
    {
        std::vector<set_drain> drains;
        collect_on_host(config_.engines, drain_target::engine, change, drains);
        collect_on_host(config_.endpoints, drain_target::endpoint, change,
                        drains);
        if (drains.empty())
        {
            return unknown("engine or endpoint on host", change.name);
        }
        for (auto const &drain : drains)
        {
            auto status = (*this)(drain);
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
                                std::vector<set_drain> &drains)
    {
        for (auto const &item : items)
        {
            if (host_of(item.address) == change.name)
            {
                drains.push_back({kind, item.name, change.draining});
            }
        }
    }

    configuration &config_;
};

/// Checks the bounds of integer fields, which `class_setting` holds as double.
absl::Status check_values(configuration_change const &change)
{
    auto const *class_change = std::get_if<set_class>(&change);
    if (class_change == nullptr)
    {
        return absl::OkStatus();
    }
    constexpr double max_integer = 1e6;
    for (auto const &setting : class_change->settings)
    {
        bool const is_integer = setting.field == class_field::priority ||
                                setting.field == class_field::expected_output;
        if (is_integer && setting.value > max_integer)
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
    change_applier applier(config);
    for (auto const &change : changes)
    {
        auto status = check_values(change);
        if (status.ok())
        {
            status = std::visit(applier, change);
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
