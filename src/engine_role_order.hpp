#ifndef AGATELEDGE_ENGINE_ROLE_ORDER_HPP
#define AGATELEDGE_ENGINE_ROLE_ORDER_HPP

#include "engine_role.hpp"
#include "time.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace agateledge
{

/// Order that changes the role of an engine, given by the holder of
/// `duty::assign_roles`.
struct engine_role_order
{
    std::uint64_t operation = 0;
    std::string instance;
    std::string address;
    engine_role role = engine_role::prefill;
    std::string holder;
    std::uint64_t fencing = 0;
    duration timeout{};
    /// End of the holder's authority; the order is not sent afterwards.
    instant not_after = instant::max();

    auto operator<=>(engine_role_order const &) const = default;
};

/// Reply to an `engine_role_order`.
struct engine_role_reply
{
    std::uint64_t operation = 0;
    std::string instance;
    /// HTTP status, or 0 without a reply: the engine may carry out the order,
    /// also some seconds later.
    int status = 0;
};

} // namespace agateledge

#endif
