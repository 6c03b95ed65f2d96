#ifndef AGATELEDGE_ENGINE_LOSS_HPP
#define AGATELEDGE_ENGINE_LOSS_HPP

#include <compare>
#include <cstdint>

namespace agateledge
{

/// Loss of an engine that had begun, or was about to begin, to answer a prompt
/// with the part.
struct engine_loss
{
    std::uint64_t part = 0;
    /// Key of the engine's incarnation; see `load_key_of`.
    std::uint64_t engine = 0;
    /// Key of the prompt, the same when its caller sends it again.
    std::uint64_t prompt = 0;
    /// Place of the part in the prompt, 0 for the first.
    std::uint8_t place = 0;

    auto operator<=>(engine_loss const &) const = default;
};

} // namespace agateledge

#endif
