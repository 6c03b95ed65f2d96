#ifndef AGATELEDGE_CIRCUIT_TABLE_HPP
#define AGATELEDGE_CIRCUIT_TABLE_HPP

#include "time.hpp"

#include <vector>

namespace agateledge
{

enum class circuit_phase
{
    closed,
    /// No work is sent until the pause ends.
    open,
    /// One probe at a time is sent.
    half_open,
};

/// Circuit breaker of one engine or endpoint.
struct circuit
{
    circuit_phase phase = circuit_phase::closed;
    int failures = 0;
    /// Pause of the next opening; doubles up to a bound.
    duration pause{};
    instant reopens_at{};
    /// Begin of the slow start after the circuit closed or the target came.
    instant closed_at{};
    /// Samples of the target when the circuit became half open.
    int samples_before_probe = 0;
    bool was_ready = true;
};

/// Circuits of the engines and of the plain services' endpoints, by index.
class circuit_table
{
public:
    circuit &engine(std::size_t index) { return at(engines_, index); }
    circuit &endpoint(std::size_t index) { return at(endpoints_, index); }

    circuit const &engine(std::size_t index) const
    {
        return at(engines_, index);
    }
    circuit const &endpoint(std::size_t index) const
    {
        return at(endpoints_, index);
    }

    /// Time of the next look for pauses that ended.
    instant next_check{};

private:
    static circuit &at(std::vector<circuit> &all, std::size_t index)
    {
        if (all.size() <= index)
        {
            all.resize(index + 1);
        }
        return all[index];
    }

    static circuit const &at(std::vector<circuit> const &all, std::size_t index)
    {
        static circuit const closed;
        return index < all.size() ? all[index] : closed;
    }

    std::vector<circuit> engines_;
    std::vector<circuit> endpoints_;
};

} // namespace agateledge

#endif
