#include "peer_load_codec.hpp"

#include "gvariant_ptr.hpp"
#include "peer_load_report.hpp"

#include <cmath>
#include <utility>

namespace agateledge
{

namespace
{

/// GVariant type of a report: format version, scope, sender, data centre,
/// incarnation, sequence, and the loads as (engine,
/// unread tokens, open calls, weight and sum of the speed observations,
/// time for which it takes no work).
constexpr char const *format = "(yysstta(tuuddu))";

/// Must be changed together with `format`. Daemons of two versions run side by
/// side during a rolling upgrade and ignore each other's reports.
constexpr guchar format_version = 2;

/// Upper limit of a plausible `unread_tokens`; exceeds the capacity of a KV
/// cache. A report with a larger value is rejected as corrupt.
constexpr guint32 max_unread_tokens = 20'000'000;

/// Upper limit of a plausible time of a role change.
constexpr guint32 max_closed_ms = 60'000;

/// Upper limit of plausible sums of speed observations.
constexpr double max_speed_weight = 1e6;

bool is_scope(guchar value)
{
    return value <= static_cast<guchar>(load_scope::fleet);
}

} // namespace

std::string encode_peer_load(peer_load_report const &report)
{
    GVariantBuilder loads;
    g_variant_builder_init(&loads, G_VARIANT_TYPE("a(tuuddu)"));
    for (auto const &load : report.loads)
    {
        g_variant_builder_add(&loads, "(tuuddu)", guint64{load.engine},
                              guint32{load.unread_tokens},
                              guint32{load.open_calls}, load.speed_weight,
                              load.speed_log_sum, guint32{load.closed_ms});
    }
    gvariant_ptr const variant(g_variant_ref_sink(g_variant_new(
        format, format_version, static_cast<guchar>(report.scope),
        report.sender.c_str(), report.data_centre.c_str(),
        guint64{report.incarnation}, guint64{report.sequence}, &loads)));
    return {static_cast<char const *>(g_variant_get_data(variant.get())),
            g_variant_get_size(variant.get())};
}

std::optional<peer_load_report> decode_peer_load(std::string_view bytes)
{
    auto const variant = gvariant_from_bytes(format, bytes);
    if (g_variant_is_normal_form(variant.get()) == FALSE)
    {
        return std::nullopt;
    }
    guchar version = 0;
    guchar scope = 0;
    char const *sender = nullptr;
    char const *data_centre = nullptr;
    guint64 incarnation = 0;
    guint64 sequence = 0;
    GVariantIter *loads = nullptr;
    g_variant_get(variant.get(), "(yy&s&stta(tuuddu))", &version, &scope,
                  &sender, &data_centre, &incarnation, &sequence, &loads);
    peer_load_report out{sender, data_centre, incarnation, sequence, {}, {}};
    bool valid = version == format_version && is_scope(scope);
    guint64 engine = 0;
    guint32 unread = 0;
    guint32 calls = 0;
    double weight = 0;
    double log_sum = 0;
    guint32 closed_ms = 0;
    while (valid &&
           g_variant_iter_next(loads, "(tuuddu)", &engine, &unread, &calls,
                               &weight, &log_sum, &closed_ms) != 0)
    {
        valid = unread <= max_unread_tokens && std::isfinite(weight) &&
                std::isfinite(log_sum) && weight >= 0 &&
                weight <= max_speed_weight &&
                std::abs(log_sum) <= max_speed_weight;
        valid = valid && closed_ms <= max_closed_ms;
        out.loads.push_back(
            {engine, unread, calls, weight, log_sum, closed_ms});
    }
    g_variant_iter_free(loads);
    if (!valid)
    {
        return std::nullopt;
    }
    out.scope = static_cast<load_scope>(scope);
    return out;
}

} // namespace agateledge
