#ifndef AGATELEDGE_QUERY_TABLE_HPP
#define AGATELEDGE_QUERY_TABLE_HPP

#include "configuration_sections.hpp"
#include "decision_ring.hpp"
#include "ids.hpp"
#include "inbox.hpp"
#include "statement.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agateledge
{

/// Statement that waits for rows of the table service.
struct pending_statement
{
    operator_request request;
    statement parsed;
    /// Index of the earlier revision while an undo reads its sections.
    std::optional<configuration_index> index;
};

/// Calls of operators that wait for an answer, and what the answers are made
/// of beyond the other tables.
class query_table
{
public:
    decision_ring decisions;
    /// Last list of the platform's membership, and when it arrived.
    std::vector<host_entry> hosts;
    instant hosts_at{};

    void wait(operation_number operation, pending_statement pending)
    {
        pending_.insert_or_assign(operation, std::move(pending));
    }

    /// Removes and returns the statement that waits for `operation`.
    std::optional<pending_statement> take(operation_number operation)
    {
        auto const found = pending_.find(operation);
        if (found == pending_.end())
        {
            return std::nullopt;
        }
        auto taken = std::move(found->second);
        pending_.erase(found);
        return taken;
    }

    std::size_t waiting() const { return pending_.size(); }

private:
    std::unordered_map<operation_number, pending_statement> pending_;
};

} // namespace agateledge

#endif
