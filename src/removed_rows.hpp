#ifndef AGATELEDGE_REMOVED_ROWS_HPP
#define AGATELEDGE_REMOVED_ROWS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// Versions of the store as of which instances are known to have no row, within
/// one era. They tell an old row from one that was written after a removal,
/// whichever answer or report brings it, and in whichever order.
class removed_rows
{
public:
    /// Maximum number of instances with versions of their own. The one with the
    /// earliest removal makes room for a new one.
    static constexpr std::size_t max_entries = 4096;

    /// Records that the instance had no row as of `version`.
    void record(std::string const &id, std::uint64_t version);

    /// Records that as of `version` only instances of the directory had rows.
    void record_others(std::uint64_t version);

    /// @return newest version as of which an instance that is not in the
    ///         directory is known to have no row; 0 when nothing is known
    std::uint64_t version_of(std::string const &id) const;

    /// Forgets all versions, as those of another era cannot be compared.
    void clear();

private:
    std::map<std::string, std::uint64_t> versions_;
    std::uint64_t others_ = 0;
};

} // namespace agateledge

#endif
