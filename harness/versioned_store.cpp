#include "versioned_store.hpp"

#include <algorithm>
#include <iterator>
#include <memory>

namespace agateledge
{

namespace
{

instance_row row_of(std::string const &id, std::uint64_t version,
                    std::optional<instance_definition> const &definition)
{
    return {id, version,
            definition
                ? std::make_shared<instance_definition const>(*definition)
                : nullptr,
            false};
}

} // namespace

void versioned_store::add(std::string const &id,
                          std::optional<instance_definition> const &definition,
                          instant now)
{
    changes_.push_back({++version_, now, id, definition});
}

void versioned_store::write(
    std::optional<instance_definition> const &definition, instant now)
{
    add(definition ? definition->id : std::string(), definition, now);
}

void versioned_store::remove(std::string const &id, instant now)
{
    add(id, std::nullopt, now);
}

void versioned_store::restore(instant as_of)
{
    std::erase_if(changes_,
                  [as_of](change const &item) { return item.at > as_of; });
    version_ = changes_.empty() ? 0 : changes_.back().version;
    history_begins_ = std::min(history_begins_, version_);
    ++era_;
}

std::uint64_t versioned_store::version_at(instant as_of) const
{
    auto const later =
        std::ranges::upper_bound(changes_, as_of, {}, &change::at);
    return later == changes_.begin() ? 0 : std::prev(later)->version;
}

std::map<std::string, versioned_store::stored_row>
versioned_store::rows_at(std::uint64_t version) const
{
    std::map<std::string, stored_row> out;
    for (auto const &item : changes_)
    {
        if (item.version > version || item.id.empty())
        {
            continue;
        }
        if (item.definition)
        {
            out[item.id] = {item.version, *item.definition};
            continue;
        }
        out.erase(item.id);
    }
    return out;
}

row_read_reply versioned_store::answer(row_read const &read,
                                       instant as_of) const
{
    row_read_reply out;
    out.table = read.table;
    out.full = read.full;
    out.outcome = row_outcome::answered;
    out.status = 200;
    out.store_era = era_;
    out.version = version_at(as_of);
    if (!read.full && read.after_version < history_begins_)
    {
        out.outcome = row_outcome::history_lost;
        out.status = 410;
        return out;
    }
    if (read.table != polled_table::instances)
    {
        return out;
    }
    if (read.full)
    {
        for (auto const &[id, row] : rows_at(out.version))
        {
            out.instances.push_back(row_of(id, row.version, row.definition));
        }
        return out;
    }
    for (auto const &item : changes_)
    {
        if (!item.id.empty() && item.version > read.after_version &&
            item.version <= out.version)
        {
            out.instances.push_back(
                row_of(item.id, item.version, item.definition));
        }
    }
    return out;
}

std::map<std::string, instance_definition> versioned_store::instances() const
{
    std::map<std::string, instance_definition> out;
    for (auto const &[id, row] : rows_at(version_))
    {
        out[id] = row.definition;
    }
    return out;
}

} // namespace agateledge
