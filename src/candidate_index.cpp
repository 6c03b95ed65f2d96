#include "candidate_index.hpp"

#include "engine_table.hpp"

namespace agateledge
{

void candidate_index::rebuild(engine_table const &table, instant now,
                              revision_number revision)
{
    valid_ = true;
    built_at_ = now;
    revision_ = revision;
    for (auto &[service, roles] : by_service_)
    {
        roles = {};
    }
    for (std::uint32_t i = 0; i < table.all().size(); ++i)
    {
        auto const &engine = table.all()[i];
        if (engine.takes_work())
        {
            auto &roles = by_service_[engine.definition.service];
            roles.at(static_cast<std::size_t>(engine.role()))
                .push_back(engine_index(i));
        }
    }
}

candidate_index::engines const &candidate_index::of(std::string const &service,
                                                    engine_role role) const
{
    auto const found = by_service_.find(service);
    return found == by_service_.end()
               ? empty_
               : found->second.at(static_cast<std::size_t>(role));
}

bool candidate_index::has_generating_engine(std::string const &service) const
{
    return !of(service, engine_role::mixed).empty() ||
           !of(service, engine_role::decode).empty();
}

} // namespace agateledge
