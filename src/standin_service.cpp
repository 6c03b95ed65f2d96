#include "standin_service.hpp"

#include <algorithm>

namespace agateledge
{

standin_response standin_service::call(std::string const &method,
                                       std::string const &key,
                                       std::string const &body)
{
    if (method != "POST")
    {
        auto const found = effect_counts_.find(key);
        auto const count = found == effect_counts_.end() ? 0 : found->second;
        return {200, R"({"status":"confirmed","effects":)" +
                         std::to_string(count) + "}"};
    }
    ++effect_counts_[key];
    return {201, R"({"booking":")" + key + R"(","bytes":)" +
                     std::to_string(body.size()) + "}"};
}

int standin_service::duplicate_count() const
{
    return static_cast<int>(std::ranges::count_if(
        effect_counts_, [](auto const &effect) { return effect.second > 1; }));
}

} // namespace agateledge
