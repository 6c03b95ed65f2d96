#ifndef AGATELEDGE_VERSIONED_STORE_HPP
#define AGATELEDGE_VERSIONED_STORE_HPP

#include "instance_definition.hpp"
#include "row_messages.hpp"
#include "time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Stand-in for the platform's store in virtual time: the rows of the instances
/// with the history of their changes. It can forget this history, and answer
/// reads as of an earlier time.
class versioned_store
{
public:
    /// Writes the row of an instance, or one of another table when `definition`
    /// is none.
    void write(std::optional<instance_definition> const &definition,
               instant now);

    void remove(std::string const &id, instant now);

    /// Drops the history up to now; reads of changes since then get
    /// `row_outcome::history_lost`.
    void forget_history() { history_begins_ = version_; }

    /// Returns as a copy of the state at `as_of`: later changes are lost, and
    /// their versions are given out again.
    void restore(instant as_of);

    /// @param as_of time of the state that the answer shows
    row_read_reply answer(row_read const &read, instant as_of) const;

    /// @return the rows of the instances
    std::map<std::string, instance_definition> instances() const;

    std::uint64_t era() const { return era_; }

private:
    struct change
    {
        std::uint64_t version = 0;
        instant at{};
        /// Empty for a row of another table.
        std::string id;
        /// None when the row was removed.
        std::optional<instance_definition> definition;
    };

    struct stored_row
    {
        std::uint64_t version = 0;
        instance_definition definition;
    };

    void add(std::string const &id,
             std::optional<instance_definition> const &definition, instant now);
    std::uint64_t version_at(instant as_of) const;
    std::map<std::string, stored_row> rows_at(std::uint64_t version) const;

    std::vector<change> changes_;
    std::uint64_t version_ = 0;
    std::uint64_t history_begins_ = 0;
    std::uint64_t era_ = 1;
};

} // namespace agateledge

#endif
