#include "gvariant_ptr.hpp"

namespace agateledge
{

gvariant_ptr gvariant_from_bytes(char const *format, std::string_view bytes)
{
    // Copied, because GVariant requires aligned data.
    GBytes *copy = g_bytes_new(bytes.data(), bytes.size());
    gvariant_ptr out(g_variant_ref_sink(
        g_variant_new_from_bytes(G_VARIANT_TYPE(format), copy, FALSE)));
    g_bytes_unref(copy);
    return out;
}

} // namespace agateledge
