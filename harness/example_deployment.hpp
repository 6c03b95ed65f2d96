#ifndef AGATELEDGE_EXAMPLE_DEPLOYMENT_HPP
#define AGATELEDGE_EXAMPLE_DEPLOYMENT_HPP

#include "configuration.hpp"

#include <string>
#include <vector>

namespace agateledge
{

/// Prompt and answer lengths of the requests of one class, in tokens.
struct class_shape
{
    std::string name;
    int prompt_tokens = 0;
    int output_tokens = 0;
};

/// One of the example deployments of the documentation, with fewer engines.
struct example_deployment
{
    configuration config;
    std::vector<std::string> data_centres;
    /// Lengths of the model requests, one entry per class.
    std::vector<class_shape> shapes;
    std::string model;
    /// Name of the plain service that accepts bookings.
    std::string booking_service;
    /// True if callers query the status of bookings.
    bool has_status_checks = false;
};

/// @param name "kerbrat" or "bellhaven"
example_deployment make_example_deployment(std::string const &name);

} // namespace agateledge

#endif
