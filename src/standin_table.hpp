#ifndef AGATELEDGE_STANDIN_TABLE_HPP
#define AGATELEDGE_STANDIN_TABLE_HPP

#include "table_call.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// Model of the platform's transactional table service.
class standin_table
{
public:
    /// Executes one read or one transaction. A transaction applies all its
    /// writes if all conditions hold, and otherwise none.
    table_reply apply(table_call const &call);

    /// @return the row; its version is 0 if the row does not exist
    table_row row(std::string const &key) const;

    std::map<std::string, table_row> const &rows() const { return rows_; }
    std::uint64_t reads() const { return reads_; }
    std::uint64_t writes() const { return writes_; }

private:
    table_reply read(table_call const &call) const;
    bool holds(table_condition const &condition) const;

    std::map<std::string, table_row> rows_;
    /// Versions are never reused, not even after a row is deleted.
    std::uint64_t last_version_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace agateledge

#endif
