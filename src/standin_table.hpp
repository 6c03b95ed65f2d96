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
    /// Carries out one read or one transaction: all conditions hold and all
    /// writes take effect, or none does.
    table_reply apply(table_call const &call);

    /// @return the row; its version is 0 when it is absent
    table_row row(std::string const &key) const;

    std::map<std::string, table_row> const &rows() const { return rows_; }
    std::uint64_t reads() const { return reads_; }
    std::uint64_t writes() const { return writes_; }

private:
    table_reply read(table_call const &call) const;
    bool holds(table_condition const &condition) const;

    std::map<std::string, table_row> rows_;
    /// Versions are never used again, also not after a delete.
    std::uint64_t last_version_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace agateledge

#endif
