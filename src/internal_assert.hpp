#ifndef AGATELEDGE_INTERNAL_ASSERT_HPP
#define AGATELEDGE_INTERNAL_ASSERT_HPP

#include <functional>
#include <sstream>
#include <string>

namespace agateledge
{

/// Called with the message of a failed internal assertion. The default handler
/// prints the message and aborts the process; `long_run` installs one that
/// prints the seed and the trace.
using assertion_handler = std::function<void(std::string const &)>;

/// Replaces the handler of failed assertions.
///
/// @param handler new handler; an empty one restores the default
void set_assertion_handler(assertion_handler handler);

/// Calls the installed handler with the message of a failed assertion.
void report_assertion(std::string const &message);

/// Checks a condition that only a bug in this program can violate. Also active
/// in release builds.
///
/// @param condition reports a failed assertion when false
/// @param parts strings and values that are concatenated to the message
template <class... Parts>
void internal_assert(bool condition, Parts const &...parts)
{
    if (!condition) [[unlikely]]
    {
        std::ostringstream text;
        (text << ... << parts);
        report_assertion(text.str());
    }
}

} // namespace agateledge

#endif
