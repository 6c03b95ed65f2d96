#ifndef AGATELEDGE_SSE_READER_HPP
#define AGATELEDGE_SSE_READER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace agateledge
{

/// Parses a stream of server-sent events. Supports events with one data line,
/// as engines send them.
class sse_reader
{
public:
    /// Maximum length of a line; a stream with a longer one is malformed.
    static constexpr std::size_t max_line_bytes = std::size_t{1} << 20;

    /// Reads the next bytes of the stream.
    ///
    /// @param bytes next part of the stream, split at any position
    /// @param on_data called with the data of each event; returns false to stop
    /// @return false when a line is too long or `on_data` stopped
    bool read(std::string_view bytes,
              std::function<bool(std::string_view)> const &on_data);

private:
    std::string partial_line_;
};

} // namespace agateledge

#endif
