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

/// Rate and burst of each of the two byte budgets: about 300 lines per second
/// at the usual length.
constexpr double bytes_per_second = 96.0 * 1024;
constexpr double burst_bytes = 512.0 * 1024;

/// A pipe that poll() reports as writable takes this many bytes without
/// blocking.
constexpr std::size_t max_line_bytes = PIPE_BUF;

} // namespace

bounded_appender::bounded_appender(int descriptor)
    : descriptor_(descriptor), info_budget_(bytes_per_second, burst_bytes),
      warning_budget_(bytes_per_second, burst_bytes)
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

bool bounded_appender::may_write(log4cplus::LogLevel level, std::size_t bytes)
{
    auto &bucket =
        level >= log4cplus::WARN_LOG_LEVEL ? warning_budget_ : info_budget_;
    return bucket.try_consume(daemon_loop::clock_now(),
                              static_cast<double>(bytes));
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

bool bounded_appender::log_dropped_lines()
{
    auto const unreported = dropped_ - dropped_reported_;
    if (unreported == 0)
    {
        return true;
    }
    auto const line = "{\"level\":\"warning\",\"event\":\"log_lines_dropped\","
                      "\"lines\":\"" +
                      std::to_string(unreported) + "\"}\n";
    if (!write_line(line))
    {
        return false;
    }
    dropped_reported_ = dropped_;
    return true;
}

void bounded_appender::append(log4cplus::spi::InternalLoggingEvent const &event)
{
    auto const &line = formatEvent(event);
    if (line.size() > max_line_bytes ||
        !may_write(event.getLogLevel(), line.size()) || !log_dropped_lines() ||
        !write_line(line))
    {
        ++dropped_;
    }
}

} // namespace agateledge
