#include "part_evidence_codec.hpp"

#include "gvariant_ptr.hpp"
#include "part_evidence_report.hpp"

#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// GVariant type of a report: format version, sender, data centre, losses as
/// (part, engine, prompt, place, age) and successes as (part, age).
constexpr char const *format = "(yssa(tttyu)a(tu))";

/// Differs from the version of load reports, which arrive on the same socket.
/// Must be changed together with `format`.
constexpr guchar format_version = 101;

std::vector<reported_loss> read_losses(GVariantIter *items)
{
    std::vector<reported_loss> out;
    guint64 part = 0;
    guint64 engine = 0;
    guint64 prompt = 0;
    guchar place = 0;
    guint32 age_ms = 0;
    while (g_variant_iter_next(items, "(tttyu)", &part, &engine, &prompt,
                               &place, &age_ms) != 0)
    {
        out.push_back({{part, engine, prompt, place}, age_ms});
    }
    g_variant_iter_free(items);
    return out;
}

std::vector<reported_success> read_successes(GVariantIter *items)
{
    std::vector<reported_success> out;
    guint64 part = 0;
    guint32 age_ms = 0;
    while (g_variant_iter_next(items, "(tu)", &part, &age_ms) != 0)
    {
        out.push_back({part, age_ms});
    }
    g_variant_iter_free(items);
    return out;
}

} // namespace

std::string encode_part_evidence(part_evidence_report const &report)
{
    GVariantBuilder losses;
    g_variant_builder_init(&losses, G_VARIANT_TYPE("a(tttyu)"));
    for (auto const &[loss, age_ms] : report.losses)
    {
        g_variant_builder_add(&losses, "(tttyu)", guint64{loss.part},
                              guint64{loss.engine}, guint64{loss.prompt},
                              guchar{loss.place}, guint32{age_ms});
    }
    GVariantBuilder successes;
    g_variant_builder_init(&successes, G_VARIANT_TYPE("a(tu)"));
    for (auto const &[part, age_ms] : report.successes)
    {
        g_variant_builder_add(&successes, "(tu)", guint64{part},
                              guint32{age_ms});
    }
    gvariant_ptr const variant(g_variant_ref_sink(
        g_variant_new(format, format_version, report.sender.c_str(),
                      report.data_centre.c_str(), &losses, &successes)));
    return {static_cast<char const *>(g_variant_get_data(variant.get())),
            g_variant_get_size(variant.get())};
}

std::optional<part_evidence_report> decode_part_evidence(std::string_view bytes)
{
    auto const variant = gvariant_from_bytes(format, bytes);
    if (g_variant_is_normal_form(variant.get()) == FALSE)
    {
        return std::nullopt;
    }
    guchar version = 0;
    char const *sender = nullptr;
    char const *data_centre = nullptr;
    GVariantIter *losses = nullptr;
    GVariantIter *successes = nullptr;
    g_variant_get(variant.get(), "(y&s&sa(tttyu)a(tu))", &version, &sender,
                  &data_centre, &losses, &successes);
    part_evidence_report out{sender, data_centre, read_losses(losses),
                             read_successes(successes)};
    return version == format_version ? std::optional(std::move(out))
                                     : std::nullopt;
}

} // namespace agateledge
