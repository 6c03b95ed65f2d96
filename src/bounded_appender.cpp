#include "bounded_appender.hpp"

#include "daemon_loop.hpp"

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <climits>

namespace agateledge
{

namespace
{

/// Volume of each kind of lines, in bytes a second and in bytes at once: about
/// 300 lines of each kind a second at the usual length.
constexpr double bytes_per_second = 96.0 * 1024;
constexpr double burst_bytes = 512.0 * 1024;

/// A pipe that is ready takes this many bytes without blocking.
constexpr std::size_t most_line_bytes = PIPE_BUF;

} // namespace

bounded_appender::bounded_appender(int descriptor)
    : descriptor_(descriptor), details_(bytes_per_second, burst_bytes),
      warnings_(bytes_per_second, burst_bytes)
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

bool bounded_appender::may_write(log4cplus::LogLevel level, std::size_t bytes)
{
    auto &bucket = level >= log4cplus::WARN_LOG_LEVEL ? warnings_ : details_;
    return bucket.take(daemon_loop::clock_now(), static_cast<double>(bytes));
}

bool bounded_appender::write_line(std::string const &line) const
{
    pollfd state{descriptor_, POLLOUT, 0};
    if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
    {
        return false;
    }
    auto const written = write(descriptor_, line.data(), line.size());
    return written == static_cast<ssize_t>(line.size());
}

bool bounded_appender::tell_dropped()
{
    auto const untold = dropped_ - dropped_told_;
    if (untold == 0)
    {
        return true;
    }
    auto const line = "{\"level\":\"warning\",\"event\":\"log_lines_dropped\","
                      "\"lines\":\"" +
                      std::to_string(untold) + "\"}\n";
    if (!write_line(line))
    {
        return false;
    }
    dropped_told_ = dropped_;
    return true;
}

void bounded_appender::append(log4cplus::spi::InternalLoggingEvent const &event)
{
    auto const &line = formatEvent(event);
    if (line.size() > most_line_bytes ||
        !may_write(event.getLogLevel(), line.size()) || !tell_dropped() ||
        !write_line(line))
    {
        ++dropped_;
    }
}

} // namespace agateledge
