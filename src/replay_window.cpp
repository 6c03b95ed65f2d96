#include "replay_window.hpp"

namespace agateledge
{

bool replay_window::accept(std::uint64_t counter)
{
    if (counter > highest_)
    {
        auto const distance = counter - highest_;
        seen_ = distance >= width ? std::bitset<width>() : seen_ << distance;
        seen_.set(0);
        highest_ = counter;
        return true;
    }
    auto const age = highest_ - counter;
    if (counter == 0 || age >= width || seen_.test(age))
    {
        return false;
    }
    seen_.set(age);
    return true;
}

} // namespace agateledge
