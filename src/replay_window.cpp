#include "replay_window.hpp"

namespace agateledge
{

bool replay_window::accept(std::uint64_t counter)
{
    if (counter > highest_)
    {
        auto const distance = counter - highest_;
        accepted_ =
            distance >= width ? std::bitset<width>() : accepted_ << distance;
        accepted_.set(0);
        highest_ = counter;
        return true;
    }
    auto const age = highest_ - counter;
    if (counter == 0 || age >= width || accepted_.test(age))
    {
        return false;
    }
    accepted_.set(age);
    return true;
}

} // namespace agateledge
