#ifndef AGATELEDGE_GVARIANT_PTR_HPP
#define AGATELEDGE_GVARIANT_PTR_HPP

#include <glib.h>

#include <memory>
#include <string_view>

namespace agateledge
{

/// Releases one reference of a GVariant.
struct gvariant_unref
{
    void operator()(GVariant *variant) const { g_variant_unref(variant); }
};

/// Owns one reference to a GVariant.
using gvariant_ptr = std::unique_ptr<GVariant, gvariant_unref>;

/// @param format GVariant type of the value
/// @param bytes serialised value, which need not be valid
/// @return the value
gvariant_ptr gvariant_from_bytes(char const *format, std::string_view bytes);

} // namespace agateledge

#endif
