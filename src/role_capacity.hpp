#ifndef AGATELEDGE_ROLE_CAPACITY_HPP
#define AGATELEDGE_ROLE_CAPACITY_HPP

namespace agateledge
{

/// Engines of one service by role; fractions stand for engines away for part
/// of the time.
struct role_counts
{
    double mixed = 0;
    double prefill = 0;
    double decode = 0;
};

/// Tokens a second that one engine of a role computes when it is full.
struct role_rates
{
    double prefill = 7500;
    double decode = 1700;
    double mixed_prefill = 6500;
    double mixed_decode = 1300;
};

/// Tokens a second that arrive.
struct token_demand
{
    double prompt = 0;
    double output = 0;
};

/// @return the demand as a share of what the engines can serve
double utilisation(role_counts const &engines, role_rates const &rates,
                   token_demand const &demand);

/// @return expected share of the requests that are answered in time at a
///         utilisation
double expected_goodput(double utilisation);

} // namespace agateledge

#endif
