#include "directory_age.hpp"

#include "store_view_state.hpp"
#include "world.hpp"

#include <cstddef>

namespace agateledge
{

std::optional<instant> directory_known_at(world const &w)
{
    auto const &view = w.proxy.store_view;
    auto const known_at = view ? view->known_at.at(static_cast<std::size_t>(
                                     polled_table::instances))
                               : instant{};
    return known_at == instant{} ? std::nullopt : std::optional(known_at);
}

} // namespace agateledge
