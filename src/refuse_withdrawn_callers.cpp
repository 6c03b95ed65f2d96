#include "refuse_withdrawn_callers.hpp"

#include "request_lifecycle.hpp"
#include "world.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace agateledge
{

namespace
{

bool is_unsent(request_state const &request)
{
    return request.phase == request_phase::waiting && request.attempts == 0 &&
           !request.accepted && !request.arrival.caller.empty();
}

} // namespace

void refuse_withdrawn_callers(world &w)
{
    std::vector<request_number> unsent;
    for (auto const &[number, request] : w.requests.all())
    {
        if (is_unsent(request))
        {
            unsent.push_back(number);
        }
    }
    if (unsent.empty())
    {
        return;
    }
    std::unordered_set<std::string_view> callers;
    std::ranges::transform(w.config.callers,
                           std::inserter(callers, callers.end()),
                           &caller_definition::name);
    std::ranges::sort(unsent);
    for (auto const number : unsent)
    {
        auto const *request = w.requests.find(number);
        if (!callers.contains(request->arrival.caller))
        {
            refuse_request(w, number, result_code::unauthenticated,
                           "the caller's key was withdrawn");
        }
    }
}

} // namespace agateledge
