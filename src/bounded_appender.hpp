#ifndef AGATELEDGE_BOUNDED_APPENDER_HPP
#define AGATELEDGE_BOUNDED_APPENDER_HPP

#include "token_bucket.hpp"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace agateledge
{

/// Writes log lines to a descriptor without blocking, at a limited rate. Lines
/// that exceed the rate, are too long, or would block are dropped and counted;
/// their number is logged before the next line that is written.
class bounded_appender : public log4cplus::Appender
{
public:
    /// @param descriptor open for writing; the appender does not close it
    explicit bounded_appender(int descriptor);
    ~bounded_appender() override;

    void close() override { closed = true; }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const &event) override;

private:
    bool may_write(log4cplus::LogLevel level, std::size_t bytes);
    bool write_line(std::string const &line) const;
    bool log_dropped_lines();

    int descriptor_;
    /// Byte budget of the lines below the level `warning`.
    token_bucket info_budget_;
    /// Byte budget of the other lines, so that details cannot displace them.
    token_bucket warning_budget_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_reported_ = 0;
};

} // namespace agateledge

#endif
