#include "reassign_open_work.hpp"

#include "request_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <vector>

namespace agateledge
{

void reassign_open_work(world &w, engine_index engine)
{
    std::vector<attempt_number> open;
    for (auto const &[number, attempt] : w.attempts.all())
    {
        if (attempt.engine == engine)
        {
            open.push_back(number);
        }
    }
    // Sorted, since the table's iteration order differs between standard
    // libraries.
    std::ranges::sort(open);
    auto const &definition = w.engines.at(engine).definition;
    for (auto const number : open)
    {
        auto const *attempt = w.attempts.find(number);
        auto *request = w.requests.find(attempt->request);
        w.out.attempt_cancels.push_back(
            {number, definition.name, definition.address, attempt->stream_key});
        end_attempt(w, number);
        request->reattach.reset();
        requeue_request(w, *request);
    }
}

} // namespace agateledge
