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

    /// Takes tokens.
    ///
    /// @param now time of the daemon's clock
    /// @param tokens number to take
    /// @return false when fewer are left; none is taken then
    bool take(instant now, double tokens = 1)
    {
        refill(now);
        if (tokens_ < tokens)
        {
            return false;
        }
        tokens_ -= tokens;
        return true;
    }

    /// Takes tokens, below zero if too few are left.
    void force(instant now, double tokens = 1)
    {
        refill(now);
        tokens_ -= tokens;
    }

    /// @return tokens that are left at `now`
    double available(instant now)
    {
        refill(now);
        return tokens_;
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
