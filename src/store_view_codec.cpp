#include "store_view_codec.hpp"

#include "gvariant_ptr.hpp"
#include "socket_address.hpp"
#include "store_view_report.hpp"

#include <utility>

namespace agateledge
{

namespace
{

/// GVariant type of a report: format version, sender, data centre, incarnation,
/// sequence, time of the send, era, first and last version, age of the
/// instances, version and age of the configuration, and the changes as (id, row
/// version, listed, service, address, data centre, accepts work, role, start,
/// reclaimable).
constexpr char const *format = "(yssttttttttta(stbsssbyxb))";
constexpr char const *changes_format = "a(stbsssbyxb)";

/// Differs from the versions of the other reports on the same socket. Must be
/// changed together with `format`.
constexpr guchar format_version = 102;

/// Longest time in a report. An older view is of no use, and a longer time is
/// corrupt.
constexpr guint64 max_age_us = guint64{600} * 1'000'000;

std::optional<reported_instance> read_change(GVariant *item)
{
    char const *id = nullptr;
    char const *service = nullptr;
    char const *address = nullptr;
    char const *data_centre = nullptr;
    guint64 row_version = 0;
    gboolean listed = FALSE;
    gboolean accepts_work = FALSE;
    guchar role = 0;
    gint64 started_at_ms = 0;
    gboolean reclaimable = FALSE;
    g_variant_get(item, "(&stb&s&s&sbyxb)", &id, &row_version, &listed,
                  &service, &address, &data_centre, &accepts_work, &role,
                  &started_at_ms, &reclaimable);
    reported_instance out{id, row_version, std::nullopt};
    if (listed == FALSE)
    {
        return out;
    }
    if (!is_peer_address(address) ||
        role > static_cast<guchar>(engine_role::decode))
    {
        return std::nullopt;
    }
    instance_definition definition;
    definition.id = id;
    definition.service = service;
    definition.address = address;
    definition.data_centre = data_centre;
    definition.accepts_work = accepts_work != FALSE;
    definition.role = static_cast<engine_role>(role);
    definition.started_at_ms = started_at_ms;
    definition.reclaimable = reclaimable != FALSE;
    out.definition = std::move(definition);
    return out;
}

guint64 microseconds_of(duration value)
{
    return static_cast<guint64>(value.count());
}

} // namespace

std::string encode_store_view(store_view_report const &report)
{
    GVariantBuilder changes;
    g_variant_builder_init(&changes, G_VARIANT_TYPE(changes_format));
    for (auto const &change : report.changes)
    {
        auto const row = change.definition.value_or(instance_definition());
        g_variant_builder_add(
            &changes, "(stbsssbyxb)", change.id.c_str(),
            guint64{change.row_version},
            static_cast<gboolean>(change.definition.has_value()),
            row.service.c_str(), row.address.c_str(), row.data_centre.c_str(),
            static_cast<gboolean>(row.accepts_work),
            static_cast<guchar>(row.role), gint64{row.started_at_ms},
            static_cast<gboolean>(row.reclaimable));
    }
    gvariant_ptr const variant(g_variant_ref_sink(g_variant_new(
        format, format_version, report.sender.c_str(),
        report.data_centre.c_str(), guint64{report.incarnation},
        guint64{report.sequence}, microseconds_of(report.sent_at),
        guint64{report.era}, guint64{report.from_version},
        guint64{report.version}, microseconds_of(report.instances_age),
        guint64{report.configuration_version},
        microseconds_of(report.configuration_age), &changes)));
    return {static_cast<char const *>(g_variant_get_data(variant.get())),
            g_variant_get_size(variant.get())};
}

std::optional<store_view_report> decode_store_view(std::string_view bytes)
{
    auto const variant = gvariant_from_bytes(format, bytes);
    if (g_variant_is_normal_form(variant.get()) == FALSE)
    {
        return std::nullopt;
    }
    guchar version = 0;
    char const *sender = nullptr;
    char const *data_centre = nullptr;
    guint64 sent_at = 0;
    guint64 instances_age = 0;
    guint64 configuration_age = 0;
    store_view_report out;
    guint64 incarnation = 0;
    guint64 sequence = 0;
    guint64 era = 0;
    guint64 from_version = 0;
    guint64 to_version = 0;
    guint64 configuration_version = 0;
    GVariant *items = nullptr;
    g_variant_get(variant.get(), "(y&s&sttttttttt@a(stbsssbyxb))", &version,
                  &sender, &data_centre, &incarnation, &sequence, &sent_at,
                  &era, &from_version, &to_version, &instances_age,
                  &configuration_version, &configuration_age, &items);
    gvariant_ptr const changes(items);
    if (version != format_version || instances_age > max_age_us ||
        configuration_age > max_age_us || from_version > to_version ||
        sent_at > G_MAXINT64 / 2)
    {
        return std::nullopt;
    }
    out.sender = sender;
    out.data_centre = data_centre;
    out.incarnation = incarnation;
    out.sequence = sequence;
    out.sent_at = duration(static_cast<duration::rep>(sent_at));
    out.era = era;
    out.from_version = from_version;
    out.version = to_version;
    out.instances_age = duration(static_cast<duration::rep>(instances_age));
    out.configuration_version = configuration_version;
    out.configuration_age =
        duration(static_cast<duration::rep>(configuration_age));
    for (gsize i = 0; i < g_variant_n_children(changes.get()); ++i)
    {
        gvariant_ptr const item(g_variant_get_child_value(changes.get(), i));
        auto change = read_change(item.get());
        if (!change)
        {
            return std::nullopt;
        }
        out.changes.push_back(*std::move(change));
    }
    return out;
}

} // namespace agateledge
