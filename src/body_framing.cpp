#include "body_framing.hpp"

namespace agateledge
{

std::string_view name_of(body_framing framing)
{
    switch (framing)
    {
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::connection:
        return "connection";
    }
    return "unknown";
}

} // namespace agateledge
