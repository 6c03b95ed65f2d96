#ifndef AGATELEDGE_DECAYING_SUM_HPP
#define AGATELEDGE_DECAYING_SUM_HPP

#include "time.hpp"

#include <cmath>

namespace agateledge
{

/// Sum whose terms lose half of their weight in each half-life.
class decaying_sum
{
public:
    /// @param half_life_s half-life in seconds
    explicit decaying_sum(double half_life_s) : half_life_s_(half_life_s) {}

    void add(double term, instant now)
    {
        value_ = at(now) + term;
        updated_at_ = now;
    }

    /// @return the sum at `now`, which is not before the last term
    double at(instant now) const
    {
        return value_ *
               std::exp2(-to_seconds(now - updated_at_) / half_life_s_);
    }

private:
    double half_life_s_;
    double value_ = 0;
    instant updated_at_{};
};

} // namespace agateledge

#endif
