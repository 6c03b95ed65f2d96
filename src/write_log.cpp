#include "write_log.hpp"

#include "world.hpp"

namespace agateledge
{

void write_log(world &w, log_level level, std::string event,
               std::vector<std::pair<std::string, std::string>> fields)
{
    w.out.log_entries.push_back({level, std::move(event), std::move(fields)});
}

} // namespace agateledge
