#ifndef AGATELEDGE_CIRCUIT_TABLE_HPP
#define AGATELEDGE_CIRCUIT_TABLE_HPP

#include "time.hpp"

#include <vector>

namespace agateledge
{

enum class circuit_phase
{
    closed,
    /// No work is sent until `circuit::half_open_at`.
    open,
    /// One probe at a time is sent.
    half_open,
};

/// Circuit breaker of one engine or endpoint.
struct circuit
{
    circuit_phase phase = circuit_phase::closed;
    int failures = 0;
    /// Time for which the circuit last stayed open; doubles with each opening
    /// up to a bound, and is reset when a probe succeeds.
    duration open_time{};
    /// Time at which an open circuit becomes half open.
    instant half_open_at{};
    /// Start of the slow start: the circuit closed or the engine became ready.
    instant closed_at{};
    /// Samples of the engine's speed when the circuit became half open.
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

    /// Time of the next scan for circuits that become half open.
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
