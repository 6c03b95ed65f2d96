#include "account_load_codec.hpp"

#include "account_load_report.hpp"
#include "gvariant_ptr.hpp"

#include <cmath>

namespace agateledge
{

namespace
{

/// GVariant type of a report: format version, scope, sender, data centre,
/// incarnation, sequence, and the loads as (service, account, work, demand,
/// number of accounts).
constexpr char const *format = "(yysstta(ttddu))";

/// Must be changed together with `format`. Daemons of two versions run side by
/// side during a rolling upgrade and ignore each other's reports. Differs from
/// the versions of the other reports: an empty load report has the same bytes
/// otherwise.
constexpr guchar format_version = 0x41;

/// Upper limits of plausible values; exceed what any fleet can do in seconds,
/// and any number of accounts. A report with a larger value is rejected as
/// corrupt.
constexpr double max_work = 1e12;
constexpr guint32 max_accounts = 1'000'000;

bool is_work(double value)
{
    return std::isfinite(value) && value >= 0 && value <= max_work;
}

bool is_scope(guchar value)
{
    return value <= static_cast<guchar>(load_scope::fleet);
}

} // namespace

std::string encode_account_load(account_load_report const &report)
{
    GVariantBuilder loads;
    g_variant_builder_init(&loads, G_VARIANT_TYPE("a(ttddu)"));
    for (auto const &load : report.loads)
    {
        g_variant_builder_add(&loads, "(ttddu)", guint64{load.service},
                              guint64{load.account}, load.work, load.demand,
                              guint32{load.accounts});
    }
    gvariant_ptr const variant(g_variant_ref_sink(g_variant_new(
        format, format_version, static_cast<guchar>(report.scope),
        report.sender.c_str(), report.data_centre.c_str(),
        guint64{report.incarnation}, guint64{report.sequence}, &loads)));
    return {static_cast<char const *>(g_variant_get_data(variant.get())),
            g_variant_get_size(variant.get())};
}

std::optional<account_load_report> decode_account_load(std::string_view bytes)
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
    g_variant_get(variant.get(), "(yy&s&stta(ttddu))", &version, &scope,
                  &sender, &data_centre, &incarnation, &sequence, &loads);
    account_load_report out{sender, data_centre, incarnation, sequence, {}, {}};
    bool valid = version == format_version && is_scope(scope);
    guint64 service = 0;
    guint64 account = 0;
    double work = 0;
    double demand = 0;
    guint32 accounts = 0;
    while (valid && g_variant_iter_next(loads, "(ttddu)", &service, &account,
                                        &work, &demand, &accounts) != 0)
    {
        valid = is_work(work) && is_work(demand) && accounts >= 1 &&
                accounts <= max_accounts;
        out.loads.push_back({service, account, work, demand, accounts});
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
