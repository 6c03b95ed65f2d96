#ifndef AGATELEDGE_STATEMENT_HPP
#define AGATELEDGE_STATEMENT_HPP

#include "engine_role.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace agateledge
{

/// Kind of entity that a query returns.
enum class query_target
{
    services,
    classes,
    engines,
    endpoints,
    models,
    roles,
    leases,
    orders,
    hosts,
    callers,
    revisions,
    requests,
};

enum class comparison
{
    equal,
    not_equal,
    less,
    less_or_equal,
    greater,
    greater_or_equal,
    /// The value is a substring of the column's text.
    contains,
};

/// Comparison of one column with a constant. Two numbers are compared by value,
/// anything else as text.
struct query_condition
{
    std::string column;
    comparison relation = comparison::equal;
    std::string value;

    auto operator<=>(query_condition const &) const = default;
};

struct query_order
{
    std::string column;
    bool descending = false;

    auto operator<=>(query_order const &) const = default;
};

/// show TARGET [where ... and ...] [order by COLUMN [desc]] [limit N]
struct query_statement
{
    query_target target = query_target::services;
    /// Conditions that a row must all meet.
    std::vector<query_condition> conditions;
    std::optional<query_order> order;
    std::optional<unsigned> limit;

    auto operator<=>(query_statement const &) const = default;
};

/// create service NAME model MODEL | create service NAME plain
struct create_service
{
    std::string name;
    bool plain = false;
    std::string model;

    auto operator<=>(create_service const &) const = default;
};

/// drop service NAME
struct drop_service
{
    std::string name;

    auto operator<=>(drop_service const &) const = default;
};

/// drop class NAME of SERVICE
struct drop_class
{
    std::string name;
    std::string service;

    auto operator<=>(drop_class const &) const = default;
};

enum class class_field
{
    priority,
    first_token,
    token_interval,
    finish,
    weight,
    may_wait,
    expected_output,
};

/// One field of a class. A duration is in microseconds; `may_wait` is 0 or 1.
struct class_setting
{
    class_field field = class_field::priority;
    double value = 0;

    auto operator<=>(class_setting const &) const = default;
};

/// set class NAME of SERVICE FIELD VALUE ...; creates the class if it is new.
struct set_class
{
    std::string name;
    std::string service;
    std::vector<class_setting> settings;

    auto operator<=>(set_class const &) const = default;
};

/// assign engine NAME to SERVICE [at ADDRESS in CENTRE] [role R] [version V]
struct assign_engine
{
    std::string engine;
    std::string service;
    /// Address and data centre of an engine that is not yet configured.
    std::string address;
    std::string data_centre;
    std::optional<engine_role> role;
    std::string version;

    auto operator<=>(assign_engine const &) const = default;
};

/// release engine NAME: removes the engine from its service.
struct release_engine
{
    std::string engine;

    auto operator<=>(release_engine const &) const = default;
};

/// set limit of caller NAME rate R [burst B]; rate 0 removes the limit.
struct set_limit
{
    std::string caller;
    double rate = 0;
    std::optional<double> burst;

    auto operator<=>(set_limit const &) const = default;
};

enum class drain_target
{
    engine,
    endpoint,
    /// All engines and endpoints on one host, by IP address.
    host,
};

/// drain engine|endpoint|host NAME | undrain ...
struct set_drain
{
    drain_target target = drain_target::engine;
    std::string name;
    bool draining = true;

    auto operator<=>(set_drain const &) const = default;
};

/// withdraw engine NAME | restore engine NAME
struct set_withdrawn
{
    std::string engine;
    bool withdrawn = true;

    auto operator<=>(set_withdrawn const &) const = default;
};

/// load version V on engine NAME
struct load_version
{
    std::string version;
    std::string engine;

    auto operator<=>(load_version const &) const = default;
};

/// load adapter A version V on engine NAME
struct load_adapter
{
    std::string adapter;
    std::string version;
    std::string engine;

    auto operator<=>(load_adapter const &) const = default;
};

/// change role of engine NAME to ROLE
struct change_role
{
    std::string engine;
    engine_role role = engine_role::mixed;

    auto operator<=>(change_role const &) const = default;
};

/// Change of the configuration.
using configuration_change =
    std::variant<create_service, drop_service, set_class, drop_class,
                 assign_engine, release_engine, set_limit, set_drain,
                 set_withdrawn>;

/// Change that one engine makes on an order.
using order_change = std::variant<load_version, load_adapter, change_role>;

/// One change, or: begin [on revision N]; CHANGE; ...; commit
struct transaction_statement
{
    /// Revision that the changes are based on; if empty, the one in force.
    std::optional<std::uint64_t> base;
    std::vector<configuration_change> changes;
    /// True for "dry run": the effects are reported and nothing is changed.
    bool dry_run = false;

    auto operator<=>(transaction_statement const &) const = default;
};

struct order_statement
{
    order_change order;
    bool dry_run = false;

    auto operator<=>(order_statement const &) const = default;
};

enum class why_subject
{
    request,
    engine,
    refusal,
};

/// why request N | why engine NAME | why refusal [N]
struct why_statement
{
    why_subject subject = why_subject::request;
    std::string engine;
    /// Request number; if empty for `refusal`, the latest refusals are shown.
    std::optional<std::uint64_t> request;

    auto operator<=>(why_statement const &) const = default;
};

/// history [limit N]
struct history_statement
{
    std::optional<unsigned> limit;

    auto operator<=>(history_statement const &) const = default;
};

/// undo revision N: creates a new revision with the content of revision N - 1;
/// refused unless N is in force.
struct undo_statement
{
    std::uint64_t revision = 0;
    bool dry_run = false;

    auto operator<=>(undo_statement const &) const = default;
};

/// Parsed statement of the operator language.
using statement =
    std::variant<query_statement, transaction_statement, order_statement,
                 why_statement, history_statement, undo_statement>;

} // namespace agateledge

#endif
