#include "block_text.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace agateledge
{

namespace
{

/// Larger than most replies, which stay in one block, and below the size from
/// which the C library maps each block separately.
constexpr std::size_t block_bytes = std::size_t{64} << 10;

} // namespace

void block_text::append(std::string_view bytes)
{
    while (!bytes.empty())
    {
        if (blocks_.empty() || blocks_.back().size() == block_bytes)
        {
            blocks_.emplace_back();
            if (size_ != 0)
            {
                blocks_.back().reserve(block_bytes);
            }
        }
        auto &block = blocks_.back();
        auto const count = std::min(bytes.size(), block_bytes - block.size());
        block.append(bytes.substr(0, count));
        size_ += count;
        bytes.remove_prefix(count);
    }
}

std::size_t block_text::capacity() const
{
    return std::accumulate(blocks_.begin(), blocks_.end(), std::size_t{0},
                           [](std::size_t sum, std::string const &block)
                           { return sum + block.capacity(); });
}

void block_text::clear()
{
    blocks_ = {};
    size_ = 0;
}

std::string block_text::take()
{
    auto blocks = std::exchange(blocks_, {});
    auto const size = std::exchange(size_, 0);
    if (blocks.empty())
    {
        return {};
    }
    auto out = std::move(blocks.front());
    out.reserve(size);
    std::for_each(blocks.begin() + 1, blocks.end(),
                  [&out](std::string &block)
                  {
                      out += block;
                      block = std::string();
                  });
    return out;
}

} // namespace agateledge
