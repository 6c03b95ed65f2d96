#ifndef AGATELEDGE_BLOCK_TEXT_HPP
#define AGATELEDGE_BLOCK_TEXT_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace agateledge
{

/// Text that is received in many pieces. It grows by blocks of a fixed size, so
/// that it needs little more memory than it has bytes.
class block_text
{
public:
    void append(std::string_view bytes);

    std::size_t size() const { return size_; }

    bool empty() const { return size_ == 0; }

    /// @return memory of the text in bytes
    std::size_t capacity() const;

    /// Releases the memory of the text.
    void clear();

    /// @return the text; this object is empty afterwards
    std::string take();

private:
    std::vector<std::string> blocks_;
    std::size_t size_ = 0;
};

} // namespace agateledge

#endif
