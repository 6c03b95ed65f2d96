#ifndef AGATELEDGE_RANDOM_SOURCE_HPP
#define AGATELEDGE_RANDOM_SOURCE_HPP

#include <cstdint>

namespace agateledge
{

/// Seeded random number generator (SplitMix64). `below` and `uniform` give the
/// same sequence on every platform, unlike the standard library's
/// distributions.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : state_(seed) {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return ~result_type{0}; }

    /// @return the next 64 random bits
    result_type operator()()
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        auto bits = state_;
        bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ULL;
        bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebULL;
        return bits ^ (bits >> 31);
    }

    /// @return a number from 0 to `bound` - 1; `bound` is at least 1
    std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

    /// @return a number from 0 (included) to 1 (excluded)
    double uniform() { return static_cast<double>((*this)() >> 11) * 0x1p-53; }

private:
    std::uint64_t state_;
};

} // namespace agateledge

#endif
