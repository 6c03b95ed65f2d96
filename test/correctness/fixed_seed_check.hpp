#ifndef AGATELEDGE_TEST_CORRECTNESS_FIXED_SEED_CHECK_HPP
#define AGATELEDGE_TEST_CORRECTNESS_FIXED_SEED_CHECK_HPP

#include "internal_assert.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>
#include <stdexcept>
#include <string>

namespace agateledge
{

/// While it exists, a failed `internal_assert` throws, which fails the running
/// test case instead of ending the process.
class throwing_assertions
{
public:
    throwing_assertions()
    {
        set_assertion_handler([](std::string const &message)
                              { throw std::runtime_error(message); });
    }
    ~throwing_assertions() { set_assertion_handler({}); }
    throwing_assertions(throwing_assertions const &) = delete;
    throwing_assertions &operator=(throwing_assertions const &) = delete;
};

/// Generates integers in [0, `end`) at the full range in every case. `inRange`
/// alone draws only small numbers in the first cases.
inline rc::Gen<int> full_range(int end)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

/// Runs a RapidCheck property with a fixed seed, so that every run has the same
/// result.
///
/// @param cases number of generated cases
/// @param shrink whether a failing case is minimised before it is reported
/// @return the message of the failure, or an empty string
template <class Property>
std::string run_with_seed(std::uint64_t seed, int cases, Property &&property,
                          bool shrink = true)
{
    throwing_assertions const assertions;
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = cases;
    params.disableShrinking = !shrink;
    auto const result = rc::detail::checkTestable(
        std::forward<Property>(property), rc::detail::TestMetadata(), params);
    if (result.template is<rc::detail::SuccessResult>())
    {
        return {};
    }
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    return text.str();
}

} // namespace agateledge

#endif
