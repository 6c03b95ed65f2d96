#ifndef AGATELEDGE_SSE_READER_HPP
#define AGATELEDGE_SSE_READER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

/// Splits a stream of server-sent events into the data of its events. Engines
/// send each event's data on one line.
class sse_reader
{
public:
    /// Longest line; a longer one ends the stream as malformed.
    static constexpr std::size_t max_line_bytes = std::size_t{1} << 20;

    /// Reads the next bytes of the stream.
    ///
    /// @param bytes the next part, cut at any place
    /// @param on_data called with the data of each event; false stops
    /// @return false when a line is too long or `on_data` stopped
    bool read(std::string_view bytes,
              std::function<bool(std::string_view)> const &on_data);

private:
    std::string partial_;
};

} // namespace agateledge

#endif
