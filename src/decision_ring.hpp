#ifndef AGATELEDGE_DECISION_RING_HPP
#define AGATELEDGE_DECISION_RING_HPP

#include "ids.hpp"
#include "result_code.hpp"
#include "time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace agateledge
{

enum class decision_kind : std::uint8_t
{
    /// An engine was considered; `reason` gives the result.
    candidate,
    /// An attempt on an engine or endpoint began.
    attempt,
    /// The request went back to the queue after an attempt.
    requeued,
    refused,
    finished,
};

/// One step in the processing of a request. It has a fixed size, so that
/// recording it needs one store and no allocation.
struct decision
{
    instant at{};
    request_number request;
    decision_kind kind = decision_kind::candidate;
    result_code code = result_code::ok;
    /// Index of the engine or endpoint; `no_target` for none.
    std::uint32_t target = no_target;
    /// True when `target` is an engine, false when it is an endpoint.
    bool on_engine = true;
    /// Predicted cost in microseconds; negative for none.
    std::int64_t cost_us = -1;
    /// Text of static storage duration.
    char const *reason = "";

    static constexpr std::uint32_t no_target = ~std::uint32_t{0};
};

/// Ring buffer of the last decisions; older ones are overwritten.
class decision_ring
{
public:
    /// About 0.25 MB and, at 4 requests a second and 4 records each, four
    /// minutes of history.
    static constexpr std::size_t capacity = 4096;

    void record(decision const &item)
    {
        if (items_.empty())
        {
            items_.resize(capacity);
        }
        items_[count_ % capacity] = item;
        ++count_;
    }

    /// Calls `visit` with each decision that is still stored, oldest first.
    template <class Visitor>
    void for_each(Visitor visit) const
    {
        auto const first = count_ > capacity ? count_ - capacity : 0;
        for (auto i = first; i < count_; ++i)
        {
            visit(items_[i % capacity]);
        }
    }

    /// @return number of decisions that were overwritten
    std::size_t overwritten() const
    {
        return count_ > capacity ? count_ - capacity : 0;
    }

private:
    std::vector<decision> items_;
    std::size_t count_ = 0;
};

} // namespace agateledge

#endif
