#ifndef AGATELEDGE_PROXY_FIXTURE_HPP
#define AGATELEDGE_PROXY_FIXTURE_HPP

#include "world.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// One daemon behind the platform in virtual time, without a network. Tests
/// supply the input and inspect the output of each tick.
class proxy_fixture
{
public:
    /// Sets up the routes `/chat/` (resumable stream) and `/once/` (stream that
    /// must not be repeated) of the service `models`, and `/book/`
    /// (non-idempotent) and `/look/` (idempotent) of the service `desk`.
    proxy_fixture();

    /// Advances the virtual time and runs ticks of at most 10 ms.
    ///
    /// @param time time to advance by
    /// @return output of all ticks
    outbox advance(duration time);

    /// Runs one tick without advancing the time.
    ///
    /// @return output of the tick
    outbox tick_now();

    /// Adds an instance by a reply to an incremental read of the directory.
    void list(instance_definition const &instance);

    /// Adds `count` engines of `models`, named `<role>-<number>`.
    void list_engines(int count, engine_role role);

    /// Adds `count` endpoints of `desk`, named `desk-<number>`.
    void list_endpoints(int count);

    /// Supplies a reply to an incremental read of the instances table.
    ///
    /// @param renewed ids of instances whose rows were written again
    /// @param removed ids of instances whose rows were removed
    void instances_changed(std::vector<std::string> const &renewed,
                           std::vector<std::string> const &removed);

    /// Supplies a read of the instances table that begins and fails now.
    void store_fails();

    /// Supplies a request of a caller for the next tick.
    ///
    /// @param path path of the request
    /// @param shared_part id of the shared part of its prompt; 0 for no prompt
    /// @param shared_tokens tokens of that part
    /// @param unshared_tokens tokens of the part that no other request shares
    /// @return number of the request
    request_number send(std::string const &path, std::uint64_t shared_part = 0,
                        int shared_tokens = 0, int unshared_tokens = 100);

    /// Supplies a request whose prompt has the given parts of 100 tokens each,
    /// the last of which belongs to the request alone.
    request_number send_prompt(std::string const &path,
                               std::vector<std::uint64_t> const &parts);

    /// Supplies the head of a reply; it is signed unless `not_run` is set. A
    /// successful one declares a stream of events in chunks.
    void reply_head(attempt_number attempt, int status, bool not_run = false);
    void reply_head(attempt_number attempt, proxy_reply_head const &head);
    void reply_bytes(attempt_number attempt, std::string const &bytes);
    void reply_ends(attempt_number attempt, proxy_event_kind kind);

    world state;
    /// Credential of the following requests, as sent in their header.
    std::string credential;

private:
    request_number arrive(std::string const &path,
                          std::optional<prompt_shape> const &prompt);
    instance_row row_of(instance_definition const &instance);

    std::uint64_t store_version_ = 1;
    std::uint64_t last_request_ = 0;
};

} // namespace agateledge

#endif
