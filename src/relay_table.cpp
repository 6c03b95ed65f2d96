#include "relay_table.hpp"

#include <utility>

namespace agateledge
{

relay_state_entry &relay_table::add(relay_state_entry entry)
{
    auto const number = entry.number;
    return entries_.insert_or_assign(number, std::move(entry)).first->second;
}

relay_state_entry *relay_table::find(request_number number)
{
    auto const found = entries_.find(number);
    return found == entries_.end() ? nullptr : &found->second;
}

void relay_table::erase(request_number number)
{
    entries_.erase(number);
}

relay_attempt &relay_table::add(relay_attempt attempt)
{
    auto const number = attempt.attempt;
    return attempts_.insert_or_assign(number, std::move(attempt)).first->second;
}

relay_attempt *relay_table::find(attempt_number attempt)
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

relay_attempt const *relay_table::find(attempt_number attempt) const
{
    auto const found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

void relay_table::erase(attempt_number attempt)
{
    attempts_.erase(attempt);
}

} // namespace agateledge
