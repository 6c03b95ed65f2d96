#ifndef AGATELEDGE_TOKEN_BUCKET_HPP
#define AGATELEDGE_TOKEN_BUCKET_HPP

#include "time.hpp"

#include <algorithm>

namespace agateledge
{

/// Budget that refills at a constant rate. It starts full.
class token_bucket
{
public:
    /// @param rate tokens a second
    /// @param burst most tokens that are kept
    token_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), tokens_(burst)
    {
    }

    /// Takes one token.
    ///
    /// @return false when none is left
    bool take(instant now)
    {
        refill(now);
        if (tokens_ < 1)
        {
            return false;
        }
        --tokens_;
        return true;
    }

    /// Takes one token, below zero if none is left.
    void force(instant now)
    {
        refill(now);
        --tokens_;
    }

private:
    void refill(instant now)
    {
        auto const passed = to_seconds(now - last_);
        last_ = now;
        tokens_ = std::min(burst_, tokens_ + passed * rate_);
    }

    double rate_;
    double burst_;
    double tokens_;
    instant last_{};
};

} // namespace agateledge

#endif
