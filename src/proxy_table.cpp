#include "proxy_table.hpp"

#include <utility>

namespace agateledge
{

proxy_request_state &proxy_table::add(proxy_request_state entry)
{
    auto const number = entry.number;
    return entries_.insert_or_assign(number, std::move(entry)).first->second;
}

proxy_request_state *proxy_table::find(request_number number)
{
    auto const found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second;
}

void proxy_table::erase(request_number number)
{
    entries_.erase(number);
}

proxy_attempt &proxy_table::add(proxy_attempt attempt)
{
    auto const number = attempt.attempt;
    return attempts_.insert_or_assign(number, std::move(attempt)).first->second;
}

proxy_attempt *proxy_table::find(attempt_number attempt)
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

proxy_attempt const *proxy_table::find(attempt_number attempt) const
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

void proxy_table::erase(attempt_number attempt)
{
    attempts_.erase(attempt);
}

} // namespace agateledge
