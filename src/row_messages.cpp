#include "row_messages.hpp"

namespace agateledge
{

std::string_view name_of(polled_table table)
{
    switch (table)
    {
    case polled_table::configuration:
        return "configuration";
    case polled_table::instances:
        return "instances";
    case polled_table::daemons:
        return "daemons";
    }
    return "unknown";
}

std::string_view name_of(row_outcome outcome)
{
    switch (outcome)
    {
    case row_outcome::answered:
        return "answered";
    case row_outcome::history_lost:
        return "history_lost";
    case row_outcome::refused:
        return "refused";
    case row_outcome::failed:
        return "failed";
    }
    return "unknown";
}

} // namespace agateledge
