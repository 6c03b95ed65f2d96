#ifndef AGATELEDGE_ROLE_CAPACITY_HPP
#define AGATELEDGE_ROLE_CAPACITY_HPP

namespace agateledge
{

/// Engines of one service by role; a fraction is an engine that is available
/// for part of the time.
struct role_counts
{
    double mixed = 0;
    double prefill = 0;
    double decode = 0;
};

/// Tokens per second that one engine of a role processes at full load.
struct role_rates
{
    double prefill = 7500;
    double decode = 1700;
    double mixed_prefill = 6500;
    double mixed_decode = 1300;
};

/// Tokens per second of the arriving requests.
struct token_demand
{
    double prompt = 0;
    double output = 0;
};

/// @return the demand as a fraction of the capacity of the engines
double utilisation(role_counts const &engines, role_rates const &rates,
                   token_demand const &demand);

/// @return expected fraction of requests that are answered in time at a given
///         utilisation
double expected_goodput(double utilisation);

} // namespace agateledge

#endif
