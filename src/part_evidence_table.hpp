#ifndef AGATELEDGE_PART_EVIDENCE_TABLE_HPP
#define AGATELEDGE_PART_EVIDENCE_TABLE_HPP

#include "engine_loss.hpp"
#include "time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace agateledge
{

/// Evidence on prompt parts that crash the engines which answer them, from this
/// daemon's calls and from the reports of other daemons. Recording the same
/// evidence again changes nothing, so that reports may be repeated, lost and
/// forwarded.
class part_evidence_table
{
public:
    using dated_loss = std::pair<engine_loss, instant>;
    using dated_part = std::pair<std::uint64_t, instant>;

    /// Records the loss of an engine, unless it is known or adds nothing.
    ///
    /// @return true when the loss was recorded
    bool record_loss(engine_loss const &loss, instant at);

    /// Records that an engine answered a prompt with the part.
    ///
    /// @return true when this disproves losses that counted until now
    bool record_success(std::uint64_t part, instant at);

    /// Records the last success at another daemon, unless no loss of the part
    /// is known. It is not reported on, because its time includes that of the
    /// transfer.
    void record_peer_success(std::uint64_t part, instant at);

    /// @return time until which prompts with the part are not sent to engines;
    ///         none when it is not suspected
    std::optional<instant> suspected_until(std::uint64_t part,
                                           instant now) const;

    /// @return the suspected parts, in ascending order
    std::vector<std::uint64_t> suspected_parts(instant now) const;

    /// @return true when engines were lost under prompts with the part since
    ///         the last success
    bool is_unproven(std::uint64_t part, instant now) const;

    /// @return time until which a prompt with the part is not sent because it
    ///         has itself lost several engines; none when it may be sent
    std::optional<instant> held_until(std::uint64_t part, std::uint64_t prompt,
                                      instant now) const;

    /// @return true when an engine was lost under one prompt with the part
    bool was_lost_under(std::uint64_t part, std::uint64_t prompt,
                        instant now) const;

    bool has_losses() const { return !losses_.empty(); }

    /// @return the losses that count, those of the parts with the most lost
    ///         engines first
    ///
    /// @param max_losses maximum number of losses
    std::vector<dated_loss> counting_losses(instant now,
                                            std::size_t max_losses) const;

    /// @return the last own successes of parts with losses, the newest first
    ///
    /// @param max_successes maximum number of successes
    std::vector<dated_part> contrary_successes(std::size_t max_successes) const;

    /// Removes losses that no longer count because of their age.
    void expire(instant now);

private:
    struct loss_detail
    {
        instant at{};
        std::uint8_t place = 0;
    };

    /// By the engine and the prompt.
    using losses_of_part =
        std::map<std::pair<std::uint64_t, std::uint64_t>, loss_detail>;
    using times_by_part = std::unordered_map<std::uint64_t, instant>;

    struct verdict_weight;

    instant last_own_success(std::uint64_t part) const;
    instant last_success(std::uint64_t part) const;
    void note_success(std::uint64_t part, instant at);
    /// @return losses that are newer than the part's last success, oldest first
    std::vector<dated_loss> counting_losses_of(std::uint64_t part,
                                               instant now) const;
    /// @return time until which `losses` of the part make it suspected
    std::optional<instant>
    suspected_until(std::uint64_t part, std::vector<dated_loss> const &losses,
                    instant now) const;
    /// @return weight of the evidence that the part itself is guilty
    verdict_weight weight_of(std::uint64_t part, instant now) const;
    /// Removes the losses of engines that were also lost under another
    /// suspected part, with more evidence than `weight`.
    void remove_explained(std::vector<dated_loss> &losses,
                          verdict_weight const &weight, instant now) const;

    std::unordered_map<std::uint64_t, losses_of_part> losses_;
    /// Successes since `successes_since_`, and those of the time before; a
    /// period is dropped as a whole.
    times_by_part recent_successes_;
    times_by_part earlier_successes_;
    times_by_part peer_successes_;
    instant successes_since_{};
};

} // namespace agateledge

#endif
