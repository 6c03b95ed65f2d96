#include "configuration_model.hpp"

#include "apply_configuration.hpp"
#include "configuration_head.hpp"
#include "configuration_sections.hpp"
#include "json_text.hpp"
#include "propose_configuration.hpp"

#include <algorithm>

namespace agateledge
{

namespace
{

constexpr std::size_t daemon_count = 4;

configuration first_configuration()
{
    configuration config;
    config.revision = revision_number(1);
    config.summary = "call 0";
    config.policy.role_changes_per_hour = 0;
    return config;
}

std::string summary_of(std::uint64_t call)
{
    return "call " + std::to_string(call);
}

/// @return the configuration whose index is in `row`, joined from the rows of
/// its sections
absl::StatusOr<configuration> stored_configuration(standin_table const &table,
                                                   table_row const &row)
{
    auto const index = configuration_index_from_json(row.value);
    section_documents documents;
    for (auto const &[name, digest] : index->sections)
    {
        documents[digest] = std::make_shared<std::string const>(
            table.row(section_key(digest)).value);
    }
    return join_configuration(*index, documents);
}

} // namespace

configuration_model::configuration_model(std::uint64_t seed)
    : deployment_(first_configuration(),
                  {"rennes-a", "rennes-a", "brest", "brest"}, seed)
{
    deployment_.table_fault = [this](std::size_t, table_call const &call)
    { return table_fault_for(call); };
    deployment_.lose_table_write = [this](table_call const &)
    { return deployment_.random().below(2) == 0; };
    deployment_.daemon_reachable = [this](std::size_t from, std::size_t to)
    {
        return deployment_.now() >= partition_until_ ||
               (from != partitioned_daemon_ && to != partitioned_daemon_);
    };
    deployment_.on_operator_reply =
        [this](std::size_t, operator_reply const &reply)
    { record_reply(reply); };
    advance(seconds(2));
}

std::optional<table_outcome>
configuration_model::table_fault_for(table_call const &call)
{
    if (deployment_.now() < outage_until_)
    {
        return table_outcome::unavailable;
    }
    if (deployment_.now() < reply_loss_until_ &&
        deployment_.random().below(2) == 0)
    {
        return call.is_write() ? table_outcome::unknown
                               : table_outcome::unavailable;
    }
    return std::nullopt;
}

/// Changes two fields, which are stored in different documents, so that a
/// partially applied change is detected.
void configuration_model::propose(std::size_t daemon)
{
    auto &virtual_daemon = deployment_.daemons()[daemon];
    if (virtual_daemon.paused)
    {
        return;
    }
    auto next = virtual_daemon.state->config;
    auto const call = ++last_call_;
    next.summary = summary_of(call);
    next.policy.role_changes_per_hour = static_cast<int>(call);
    propose_configuration(*virtual_daemon.state, next,
                          operator_call_number(call));
}

void configuration_model::record_reply(operator_reply const &reply)
{
    ++replies_[reply.code];
    auto const call = reply.call.value();
    if (reported_revisions_.contains(call))
    {
        violations_.push_back(summary_of(call) +
                              " was answered more than once");
    }
    auto const text = *json_from_text(reply.text);
    reported_revisions_[call] = reply.code == result_code::ok
                                    ? text["revision"].asUInt64()
                                    : std::uint64_t{0};
    if (reply.code == result_code::outcome_unknown)
    {
        reported_revisions_[call] = ~std::uint64_t{0};
    }
}

void configuration_model::apply(configuration_model_step const &step)
{
    auto const now = deployment_.now();
    auto const length = milliseconds(250) * step.amount;
    auto const target = static_cast<std::size_t>(step.target) % daemon_count;
    switch (step.event)
    {
    case configuration_event::propose:
        propose(target);
        return;
    case configuration_event::race:
        propose(target);
        propose((target + 1) % daemon_count);
        return;
    case configuration_event::pause:
        deployment_.daemons()[target].paused = true;
        deployment_.at(now + length, [this, target]
                       { deployment_.daemons()[target].paused = false; });
        return;
    case configuration_event::store_outage:
        outage_until_ = now + length;
        return;
    case configuration_event::lost_answers:
        reply_loss_until_ = now + length;
        return;
    case configuration_event::partition:
        partitioned_daemon_ = target;
        partition_until_ = now + length;
        return;
    case configuration_event::wait:
        return;
    }
}

void configuration_model::run(
    std::vector<configuration_model_step> const &steps)
{
    for (auto const &step : steps)
    {
        apply(step);
        advance(milliseconds(50) * (1 + step.amount));
    }
}

void configuration_model::settle()
{
    auto const now = deployment_.now();
    outage_until_ = reply_loss_until_ = partition_until_ = now;
    for (auto &daemon : deployment_.daemons())
    {
        daemon.paused = false;
    }
    advance(seconds(15));
    for (auto const &daemon : deployment_.daemons())
    {
        if (daemon.state->config.revision.value() != current_revision_ ||
            configuration_stale(*daemon.state))
        {
            violations_.push_back(daemon.state->identity.name +
                                  " did not reach revision " +
                                  std::to_string(current_revision_));
        }
    }
    check_replies();
}

/// Checks that every call was answered, that a call answered with `ok` made the
/// revision that was reported, and that a refused call made none.
void configuration_model::check_replies()
{
    for (std::uint64_t call = 1; call <= last_call_; ++call)
    {
        auto const made = std::ranges::find_if(
            revisions_, [call](auto const &item)
            { return item.second.summary == summary_of(call); });
        auto const revision = made == revisions_.end() ? 0 : made->first;
        auto const reported = reported_revisions_.find(call);
        bool const unknown = reported != reported_revisions_.end() &&
                             reported->second == ~std::uint64_t{0};
        if (reported == reported_revisions_.end() ||
            (!unknown && reported->second != revision))
        {
            violations_.push_back(
                summary_of(call) + " made revision " +
                std::to_string(revision) +
                ", which the reply to the operator does not match");
        }
    }
}

void configuration_model::advance(duration length)
{
    auto const end = deployment_.now() + length;
    while (deployment_.step(end))
    {
        check_store();
        check_daemons();
    }
}

/// Checks that the current revision is incremented by one at a time and that
/// its index is stored with it.
void configuration_model::check_store()
{
    auto const &table = deployment_.table();
    auto const head =
        configuration_head_from_text(table.row(configuration_head_key).value);
    if (head.revision.value() == current_revision_)
    {
        return;
    }
    auto const document = table.row(revision_key(head.revision));
    if (head.revision.value() != current_revision_ + 1 || document.version == 0)
    {
        violations_.push_back("revision " + std::to_string(current_revision_) +
                              " was followed by " +
                              std::to_string(head.revision.value()));
    }
    current_revision_ = head.revision.value();
    revisions_[current_revision_] = *stored_configuration(table, document);
}

/// Checks that the revision of a daemon never decreases and that its
/// configuration equals the stored one.
void configuration_model::check_daemons()
{
    for (std::size_t i = 0; i < daemon_count; ++i)
    {
        auto const &config = deployment_.daemons()[i].state->config;
        auto const revision = config.revision.value();
        if (revision < daemon_revisions_[i])
        {
            violations_.emplace_back("the revision of a daemon decreased");
        }
        if (revision != daemon_revisions_[i] && current_revision_ != 0 &&
            (!revisions_.contains(revision) ||
             revisions_.at(revision) != config))
        {
            violations_.push_back(
                "a daemon's configuration differs from the stored revision " +
                std::to_string(revision));
        }
        daemon_revisions_[i] = revision;
    }
}

} // namespace agateledge
