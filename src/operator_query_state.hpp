#ifndef AGATELEDGE_OPERATOR_QUERY_STATE_HPP
#define AGATELEDGE_OPERATOR_QUERY_STATE_HPP

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

/// Statement that waits for rows from the table service.
struct pending_statement
{
    operator_request request;
    statement parsed;
    /// Section index of the earlier revision, once an undo has read it.
    std::optional<configuration_index> index;
};

/// Operator statements that wait for the table service, and the data that only
/// answers to operators use.
class operator_query_state
{
public:
    decision_ring decisions;
    /// Hosts in the latest membership report of the platform, and when the
    /// report was received.
    std::vector<host_entry> hosts;
    instant hosts_received_at{};

    /// Stores a statement until the reply to `operation` arrives.
    void add_pending(operation_number operation, pending_statement pending)
    {
        pending_.insert_or_assign(operation, std::move(pending));
    }

    /// Removes the statement that waits for `operation`.
    ///
    /// @return the statement; empty if none waits for `operation`
    std::optional<pending_statement> take_pending(operation_number operation)
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

    std::size_t pending_count() const { return pending_.size(); }

private:
    std::unordered_map<operation_number, pending_statement> pending_;
};

} // namespace agateledge

#endif
