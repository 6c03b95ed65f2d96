#ifndef AGATELEDGE_RELAY_FIXTURE_HPP
#define AGATELEDGE_RELAY_FIXTURE_HPP

#include "world.hpp"

#include <string>
#include <vector>

namespace agateledge
{

/// One daemon behind the platform in virtual time, without a network: tests put
/// input in and look at the output of each tick.
class relay_fixture
{
public:
    /// Starts with one configuration: the routes `/chat/` (a resumable stream),
    /// `/once/` (a stream that runs once) on the service `models`, and `/book/`
    /// (non-idempotent) and `/look/` (idempotent) on the service `desk`.
    relay_fixture();

    /// Runs ticks up to a time.
    ///
    /// @return output of all ticks
    outbox advance(duration time);

    /// Runs one tick now.
    outbox tick_now();

    /// Lists an instance, as a read of changes would.
    void list(instance_definition const &instance);

    /// Lists `count` engines of `models`, named `<role>-<number>`.
    void list_engines(int count, engine_role role);

    /// Lists `count` endpoints of `desk`, named `desk-<number>`.
    void list_endpoints(int count);

    /// Feeds a reply to a read of the changes of the instances.
    void instances_changed(std::vector<std::string> const &renewed,
                           std::vector<std::string> const &removed);

    /// Feeds a failed read of the instances.
    void store_fails();

    /// Sends a request.
    ///
    /// @param path path of the request
    /// @param shared_part id of the shared part of its prompt; 0 for no prompt
    /// @param shared_tokens tokens of that part
    /// @param own_tokens tokens of the part that no other request shares
    request_number send(std::string const &path, std::uint64_t shared_part = 0,
                        int shared_tokens = 0, int own_tokens = 100);

    /// Feeds the head of a reply.
    void reply_head(attempt_number attempt, int status, bool not_run = false);
    void reply_bytes(attempt_number attempt, std::string const &bytes);
    void reply_ends(attempt_number attempt, relay_event_kind kind);

    world state;

private:
    instance_row row_of(instance_definition const &instance);

    std::uint64_t store_version_ = 1;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
