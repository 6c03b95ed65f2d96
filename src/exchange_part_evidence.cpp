#include "exchange_part_evidence.hpp"

#include "exchange_topology.hpp"
#include "world.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

namespace
{

/// Least time between two reports, so that the losses of one crash are reported
/// together.
constexpr duration min_report_interval = milliseconds(50);

/// Interval at which known evidence is repeated.
constexpr duration repetition_interval = seconds(1);

/// Maximum number of losses and of successes in a report, which bounds it to
/// 4 KB.
constexpr std::size_t max_reported_losses = 96;
constexpr std::size_t max_reported_successes = 64;

/// Age from which on evidence no longer counts.
constexpr std::uint32_t max_age_ms = 120'000;

std::uint32_t age_ms(world const &w, instant at)
{
    auto const age =
        std::chrono::duration_cast<milliseconds>(w.now - at).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, max_age_ms));
}

void merge_loss(world &w, engine_loss const &loss, instant at)
{
    auto &evidence = w.proxy.part_evidence;
    if (!evidence.table.record_loss(loss, at))
    {
        return;
    }
    evidence.verdicts_may_have_changed = true;
    // The sender has not been told of a success that disproves the loss.
    evidence.has_news |= !evidence.table.is_unproven(loss.part, w.now);
}

void merge(world &w, part_evidence_report const &report)
{
    for (auto const &[loss, age] : report.losses)
    {
        if (age < max_age_ms)
        {
            merge_loss(w, loss, w.now - milliseconds(age));
        }
    }
    for (auto const &[part, age] : report.successes)
    {
        if (age < max_age_ms)
        {
            w.proxy.part_evidence.table.record_peer_success(
                part, w.now - milliseconds(age));
        }
    }
}

void accept_report(world &w, part_evidence_report const &report)
{
    auto const peer = w.proxy.daemons.find(report.sender);
    bool const known = peer != w.proxy.daemons.end() &&
                       peer->second.data_centre == report.data_centre;
    ++w.proxy.metrics
          .part_evidence_reports[known ? "accepted" : "unknown_sender"];
    if (known)
    {
        merge(w, report);
    }
}

bool is_hub(world const &w)
{
    return !is_mesh(w) && hub_of(w, w.identity.data_centre) == w.identity.name;
}

/// @return the receivers of a report: all daemons if it has news, which are
///         rare; otherwise those on the ways of the load reports, and another
///         one each time, so that a failed hub does not isolate its daemons
std::vector<std::string> receivers(world const &w, bool news)
{
    if (news || is_mesh(w))
    {
        return all_peers(w);
    }
    auto const peers = all_peers(w);
    auto const turn = w.now.time_since_epoch() / repetition_interval;
    std::vector<std::string> out{
        peers[static_cast<std::size_t>(turn) % peers.size()]};
    if (!is_hub(w))
    {
        out.push_back(hub_of(w, w.identity.data_centre));
        return out;
    }
    std::ranges::copy(local_peers(w), std::back_inserter(out));
    std::ranges::copy(remote_hubs(w), std::back_inserter(out));
    return out;
}

void send_report(world &w, bool news)
{
    auto const &table = w.proxy.part_evidence.table;
    part_evidence_report report;
    report.sender = w.identity.name;
    report.data_centre = w.identity.data_centre;
    for (auto const &[loss, at] :
         table.counting_losses(w.now, max_reported_losses))
    {
        report.losses.push_back({loss, age_ms(w, at)});
    }
    for (auto const &[part, at] :
         table.contrary_successes(max_reported_successes))
    {
        report.successes.push_back({part, age_ms(w, at)});
    }
    part_evidence_send out;
    out.to = addresses_of(w, receivers(w, news));
    out.report =
        std::make_shared<part_evidence_report const>(std::move(report));
    if (!out.to.empty())
    {
        w.out.part_evidence_reports.push_back(std::move(out));
    }
}

void send_due_report(world &w)
{
    auto &evidence = w.proxy.part_evidence;
    auto const due =
        evidence.has_news ? evidence.next_report : evidence.next_repetition;
    if (w.now < due)
    {
        wake_at(w, due);
        return;
    }
    evidence.table.expire(w.now);
    bool const news = std::exchange(evidence.has_news, false);
    evidence.next_report = w.now + min_report_interval;
    evidence.next_repetition = w.now + repetition_interval;
    if (evidence.table.has_losses())
    {
        send_report(w, news);
        wake_at(w, evidence.next_repetition);
    }
}

} // namespace

void exchange_part_evidence(world &w)
{
    std::ranges::for_each(w.in.part_evidence_reports,
                          [&w](part_evidence_report const &report)
                          { accept_report(w, report); });
    if (w.proxy.part_evidence.table.has_losses())
    {
        send_due_report(w);
    }
}

} // namespace agateledge
