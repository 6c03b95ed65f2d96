#ifndef AGATELEDGE_TAGGED_ID_HPP
#define AGATELEDGE_TAGGED_ID_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace agateledge
{

/// Integer identifier with a type of its own for each kind of entity, so that
/// identifiers of different kinds cannot be mixed up.
///
/// @tparam Tag kind of the entity that is identified
/// @tparam Rep underlying integer type
template <class Tag, class Rep = std::uint64_t>
class tagged_id
{
public:
    constexpr tagged_id() = default;
    constexpr explicit tagged_id(Rep value) : value_(value) {}

    /// @return the underlying integer
    constexpr Rep value() const { return value_; }

    auto operator<=>(tagged_id const &) const = default;

private:
    Rep value_ = 0;
};

} // namespace agateledge

template <class Tag, class Rep>
struct std::hash<agateledge::tagged_id<Tag, Rep>>
{
    std::size_t operator()(agateledge::tagged_id<Tag, Rep> id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

#endif
