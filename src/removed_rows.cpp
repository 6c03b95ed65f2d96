#include "removed_rows.hpp"

#include <algorithm>

namespace agateledge
{

void removed_rows::record(std::string const &id, std::uint64_t version)
{
    if (version <= version_of(id))
    {
        return;
    }
    versions_[id] = version;
    if (versions_.size() > max_entries)
    {
        auto const earliest = std::ranges::min_element(
            versions_, {}, [](auto const &item) { return item.second; });
        record_others(earliest->second);
    }
}

void removed_rows::record_others(std::uint64_t version)
{
    others_ = std::max(others_, version);
    std::erase_if(versions_,
                  [this](auto const &item) { return item.second <= others_; });
}

std::uint64_t removed_rows::version_of(std::string const &id) const
{
    auto const found = versions_.find(id);
    return found == versions_.end() ? others_
                                    : std::max(others_, found->second);
}

void removed_rows::clear()
{
    versions_.clear();
    others_ = 0;
}

} // namespace agateledge
