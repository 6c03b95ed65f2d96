#include "internal_assert.hpp"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace agateledge
{

namespace
{

assertion_handler &installed_handler()
{
    static assertion_handler handler;
    return handler;
}

} // namespace

void set_assertion_handler(assertion_handler handler)
{
    installed_handler() = std::move(handler);
}

void report_assertion(std::string const &message)
{
    if (installed_handler())
    {
        installed_handler()(message);
        return;
    }
    std::fprintf(stderr, "internal assertion failed: %s\n", message.c_str());
    std::abort();
}

} // namespace agateledge
