#ifndef AGATELEDGE_GOBJECT_PTR_HPP
#define AGATELEDGE_GOBJECT_PTR_HPP

#include <glib-object.h>

#include <memory>

namespace agateledge
{

/// Releases one reference of a GObject.
struct gobject_unref
{
    void operator()(gpointer object) const { g_object_unref(object); }
};

/// Owns one reference to a GObject.
template <class Object>
using gobject_ptr = std::unique_ptr<Object, gobject_unref>;

/// @return an owner of a new reference to `object`
template <class Object>
gobject_ptr<Object> gobject_share(Object *object)
{
    return gobject_ptr<Object>(static_cast<Object *>(g_object_ref(object)));
}

struct gerror_free
{
    void operator()(GError *error) const { g_error_free(error); }
};

using gerror_ptr = std::unique_ptr<GError, gerror_free>;

/// Removes a source from its main context and releases it.
struct gsource_destroy
{
    void operator()(GSource *source) const
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};

using gsource_ptr = std::unique_ptr<GSource, gsource_destroy>;

struct gfree
{
    void operator()(gpointer memory) const { g_free(memory); }
};

using gchar_ptr = std::unique_ptr<gchar, gfree>;

} // namespace agateledge

#endif
