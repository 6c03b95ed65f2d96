#include "query_columns.hpp"

#include "internal_assert.hpp"

#include <algorithm>
#include <iterator>

namespace agateledge
{

namespace
{

struct target_columns
{
    query_target target;
    std::string_view name;
    std::vector<std::string_view> columns;
};

std::vector<target_columns> const &target_table()
{
    static std::vector<target_columns> const table{
        {query_target::services,
         "services",
         {"name", "plain", "model", "classes", "engines", "endpoints"}},
        {query_target::classes,
         "classes",
         {"name", "service", "priority", "first_token_ms", "token_interval_ms",
          "finish_ms", "weight", "may_wait", "expected_output"}},
        {query_target::engines,
         "engines",
         {"name", "address", "data_centre", "service", "model", "version",
          "role", "state", "open", "running", "waiting", "report_age_ms"}},
        {query_target::endpoints,
         "endpoints",
         {"name", "address", "data_centre", "service", "state", "open"}},
        {query_target::models,
         "models",
         {"model", "version", "service", "engines", "ready"}},
        {query_target::roles, "roles", {"service", "role", "engines", "ready"}},
        {query_target::leases,
         "leases",
         {"data_centre", "holder", "incarnation", "fencing", "row_version"}},
        {query_target::orders,
         "orders",
         {"engine", "id", "kind", "state", "fencing", "row_version"}},
        {query_target::hosts,
         "hosts",
         {"name", "data_centre", "address", "leaving", "entry"}},
        {query_target::callers,
         "callers",
         {"name", "account", "requests_per_second", "burst"}},
        {query_target::revisions,
         "revisions",
         {"revision", "author", "changed_at", "summary"}},
        {query_target::requests,
         "requests",
         {"request", "caller", "account", "service", "class", "phase",
          "attempts", "age_ms", "tokens", "engine"}},
    };
    return table;
}

target_columns const &find_target(query_target target)
{
    auto const found =
        std::ranges::find(target_table(), target, &target_columns::target);
    internal_assert(found != target_table().end(),
                    "no columns for query target ", static_cast<int>(target));
    return *found;
}

} // namespace

std::string_view name_of(query_target target)
{
    return find_target(target).name;
}

std::vector<std::string_view> const &columns_of(query_target target)
{
    return find_target(target).columns;
}

std::vector<query_target> const &query_targets()
{
    static std::vector<query_target> const targets = []
    {
        std::vector<query_target> all;
        std::ranges::transform(target_table(), std::back_inserter(all),
                               &target_columns::target);
        return all;
    }();
    return targets;
}

} // namespace agateledge
