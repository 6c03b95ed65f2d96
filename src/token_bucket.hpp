#ifndef AGATELEDGE_TOKEN_BUCKET_HPP
#define AGATELEDGE_TOKEN_BUCKET_HPP

#include "time.hpp"

#include <algorithm>

namespace agateledge
{

/// Token bucket that is refilled at a constant rate and starts full.
class token_bucket
{
public:
    /// @param rate tokens added a second
    /// @param burst capacity in tokens
    token_bucket(double rate, double burst)
        : rate_(rate), burst_(burst), tokens_(burst)
    {
    }

    /// Takes tokens.
    ///
    /// @param now current time, not earlier than that of the previous call
    /// @param tokens number of tokens to take
    /// @return false when fewer are available; then none is taken
    bool try_consume(instant now, double tokens = 1)
    {
        refill(now);
        if (tokens_ < tokens)
        {
            return false;
        }
        tokens_ -= tokens;
        return true;
    }

    /// Takes tokens unconditionally; the balance may become negative.
    void consume_with_debt(instant now, double tokens = 1)
    {
        refill(now);
        tokens_ -= tokens;
    }

    /// @return tokens available at `now`; negative after a `force` beyond the
    ///         balance
    double available(instant now)
    {
        refill(now);
        return tokens_;
    }

private:
    void refill(instant now)
    {
        auto const elapsed_seconds = to_seconds(now - last_);
        last_ = now;
        tokens_ = std::min(burst_, tokens_ + elapsed_seconds * rate_);
    }

    double rate_;
    double burst_;
    double tokens_;
    instant last_{};
};

} // namespace agateledge

#endif
