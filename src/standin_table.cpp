#include "standin_table.hpp"

#include <algorithm>
#include <iterator>

namespace agateledge
{

table_reply standin_table::apply(table_call const &call)
{
    if (!call.is_write())
    {
        ++reads_;
        return read(call);
    }
    ++writes_;
    table_reply reply;
    reply.operation = call.operation;
    reply.owner = call.owner;
    bool const all_hold = std::ranges::all_of(
        call.conditions,
        [this](table_condition const &condition) { return holds(condition); });
    if (!all_hold)
    {
        reply.outcome = table_outcome::conflict;
        std::ranges::transform(call.conditions, std::back_inserter(reply.rows),
                               [this](table_condition const &condition)
                               { return row(condition.key); });
        return reply;
    }
    reply.outcome = table_outcome::committed;
    for (auto const &put : call.puts)
    {
        rows_[put.key] = {put.key, put.value, ++last_version_};
        reply.rows.push_back(rows_[put.key]);
    }
    std::ranges::for_each(call.deletes,
                          [this](std::string const &key) { rows_.erase(key); });
    return reply;
}

table_row standin_table::row(std::string const &key) const
{
    auto const found = rows_.find(key);
    return found == rows_.end() ? table_row{key, "", 0} : found->second;
}

bool standin_table::holds(table_condition const &condition) const
{
    return row(condition.key).version == condition.version;
}

table_reply standin_table::read(table_call const &call) const
{
    table_reply reply;
    reply.operation = call.operation;
    reply.owner = call.owner;
    reply.outcome = table_outcome::committed;
    std::ranges::transform(call.keys, std::back_inserter(reply.rows),
                           [this](std::string const &key) { return row(key); });
    if (call.prefix.empty())
    {
        return reply;
    }
    auto item = rows_.lower_bound(call.prefix);
    while (item != rows_.end() && item->first.starts_with(call.prefix) &&
           reply.rows.size() < static_cast<std::size_t>(call.limit))
    {
        reply.rows.push_back(item->second);
        ++item;
    }
    return reply;
}

} // namespace agateledge
