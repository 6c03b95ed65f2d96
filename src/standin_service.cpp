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
        auto const found = effects_.find(key);
        auto const count = found == effects_.end() ? 0 : found->second;
        return {200, R"({"status":"confirmed","effects":)" +
                         std::to_string(count) + "}"};
    }
    ++effects_[key];
    return {201, R"({"booking":")" + key + R"(","bytes":)" +
                     std::to_string(body.size()) + "}"};
}

int standin_service::doubled() const
{
    return static_cast<int>(std::ranges::count_if(
        effects_, [](auto const &effect) { return effect.second > 1; }));
}

} // namespace agateledge
