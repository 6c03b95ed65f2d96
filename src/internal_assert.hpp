#ifndef AGATELEDGE_INTERNAL_ASSERT_HPP
#define AGATELEDGE_INTERNAL_ASSERT_HPP

#include <functional>
#include <sstream>
#include <string>

namespace agateledge
{

/// Called with the message of a failed internal assertion. The default prints
/// it and aborts; `long_run` installs one that prints the seed and the trace.
using assertion_handler = std::function<void(std::string const &)>;

/// Replaces the handler of failed assertions.
///
/// @param handler called in place of the default; an empty one restores it
void set_assertion_handler(assertion_handler handler);

/// Reports a failed assertion to the installed handler.
void report_assertion(std::string const &message);

/// Checks a condition that only a fault in this program can break. Stays on in
/// release builds.
///
/// @param holds the condition
/// @param parts text and values that make up the message
template <class... Parts>
void internal_assert(bool holds, Parts const &...parts)
{
    if (!holds) [[unlikely]]
    {
        std::ostringstream text;
        (text << ... << parts);
        report_assertion(text.str());
    }
}

} // namespace agateledge

#endif
