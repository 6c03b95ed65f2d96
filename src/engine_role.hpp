#ifndef AGATELEDGE_ENGINE_ROLE_HPP
#define AGATELEDGE_ENGINE_ROLE_HPP

#include <optional>
#include <string_view>

namespace agateledge
{

/// Kind of work that an engine accepts.
enum class engine_role
{
    mixed,
    prefill,
    decode,
};

/// @return "mixed", "prefill" or "decode"
std::string_view name_of(engine_role role);

/// @return the role with that name, or nothing for an unknown name
std::optional<engine_role> parse_engine_role(std::string_view name);

} // namespace agateledge

#endif
