#include "usage_snapshot_codec.hpp"

#include "gvariant_ptr.hpp"
#include "usage_snapshot.hpp"

#include <utility>

namespace agateledge
{

namespace
{

/// GVariant type of a report: format version, sender, incarnation, sequence,
/// open window, wall-clock time in microseconds, the counts as
/// (window, account, requests), the services as (name, requests, unread tokens,
/// late, refused), and the leases as (duty, holder, incarnation, fencing,
/// version, era).
constexpr char const *format = "(ysttxxa(xsu)a(stttt)a(ysttttt)a(xt))";

/// Must be changed together with `format`. Differs from the first bytes of the
/// other kinds of datagrams.
constexpr guchar format_version = 0x55;

struct array_builder
{
    explicit array_builder(char const *type)
    {
        g_variant_builder_init(&value, G_VARIANT_TYPE(type));
    }
    GVariantBuilder value;
};

struct array_reader
{
    GVariantIter *items = nullptr;
    ~array_reader()
    {
        if (items != nullptr)
        {
            g_variant_iter_free(items);
        }
    }
};

void read_starts(GVariantIter *items, usage_snapshot &out)
{
    gint64 window = 0;
    char const *account = nullptr;
    guint32 requests = 0;
    while (g_variant_iter_next(items, "(x&su)", &window, &account, &requests) !=
           0)
    {
        out.starts.push_back({window, account, requests});
    }
}

void read_services(GVariantIter *items, usage_snapshot &out)
{
    char const *name = nullptr;
    guint64 requests = 0;
    guint64 tokens = 0;
    guint64 late = 0;
    guint64 refused = 0;
    while (g_variant_iter_next(items, "(&stttt)", &name, &requests, &tokens,
                               &late, &refused) != 0)
    {
        out.services.push_back({name, requests, tokens, late, refused});
    }
}

void read_leases(GVariantIter *items, usage_snapshot &out)
{
    guchar item = 0;
    char const *holder = nullptr;
    guint64 incarnation = 0;
    guint64 fencing = 0;
    guint64 version = 0;
    guint64 era = 0;
    guint64 fence = 0;
    while (g_variant_iter_next(items, "(y&sttttt)", &item, &holder,
                               &incarnation, &fencing, &version, &era,
                               &fence) != 0)
    {
        out.leases.push_back(
            {item, holder, incarnation, fencing, version, era, fence});
    }
}

void read_closed(GVariantIter *items, usage_snapshot &out)
{
    gint64 window = 0;
    guint64 hash = 0;
    while (g_variant_iter_next(items, "(xt)", &window, &hash) != 0)
    {
        out.closed.push_back({window, hash});
    }
}

} // namespace

std::string encode_usage_snapshot(usage_snapshot const &report)
{
    array_builder starts("a(xsu)");
    for (auto const &item : report.starts)
    {
        g_variant_builder_add(&starts.value, "(xsu)", gint64{item.window},
                              item.account.c_str(), guint32{item.requests});
    }
    array_builder services("a(stttt)");
    for (auto const &item : report.services)
    {
        g_variant_builder_add(&services.value, "(stttt)", item.service.c_str(),
                              guint64{item.requests},
                              guint64{item.unread_tokens}, guint64{item.late},
                              guint64{item.refused});
    }
    array_builder leases("a(ysttttt)");
    for (auto const &item : report.leases)
    {
        g_variant_builder_add(&leases.value, "(ysttttt)", guchar{item.item},
                              item.holder.c_str(), guint64{item.incarnation},
                              guint64{item.fencing}, guint64{item.version},
                              guint64{item.era}, guint64{item.fence_version});
    }
    array_builder closed("a(xt)");
    for (auto const &item : report.closed)
    {
        g_variant_builder_add(&closed.value, "(xt)", gint64{item.window},
                              guint64{item.hash});
    }
    gvariant_ptr const variant(g_variant_ref_sink(g_variant_new(
        format, format_version, report.sender.c_str(),
        guint64{report.incarnation}, guint64{report.sequence},
        gint64{report.open_window}, gint64{report.wall_time.count()},
        &starts.value, &services.value, &leases.value, &closed.value)));
    return {static_cast<char const *>(g_variant_get_data(variant.get())),
            g_variant_get_size(variant.get())};
}

std::optional<usage_snapshot> decode_usage_snapshot(std::string_view bytes)
{
    auto const variant = gvariant_from_bytes(format, bytes);
    if (g_variant_is_normal_form(variant.get()) == FALSE)
    {
        return std::nullopt;
    }
    guchar version = 0;
    char const *sender = nullptr;
    guint64 incarnation = 0;
    guint64 sequence = 0;
    gint64 open_window = 0;
    gint64 wall_time = 0;
    array_reader starts;
    array_reader services;
    array_reader leases;
    array_reader closed;
    g_variant_get(variant.get(), "(y&sttxxa(xsu)a(stttt)a(ysttttt)a(xt))",
                  &version, &sender, &incarnation, &sequence, &open_window,
                  &wall_time, &starts.items, &services.items, &leases.items,
                  &closed.items);
    if (version != format_version)
    {
        return std::nullopt;
    }
    usage_snapshot out;
    out.sender = sender;
    out.incarnation = incarnation;
    out.sequence = sequence;
    out.open_window = open_window;
    out.wall_time = duration(wall_time);
    read_starts(starts.items, out);
    read_services(services.items, out);
    read_leases(leases.items, out);
    read_closed(closed.items, out);
    return out;
}

} // namespace agateledge
