#ifndef AGATELEDGE_BOUNDED_APPENDER_HPP
#define AGATELEDGE_BOUNDED_APPENDER_HPP

#include "token_bucket.hpp"

#include <log4cplus/appender.h>

#include <cstdint>
#include <string>

namespace agateledge
{

/// Writes log lines to a descriptor without ever waiting for its reader, and
/// bounds their volume. Lines that the reader or the bound does not allow are
/// dropped and counted; the next line that is written tells their number.
class bounded_appender : public log4cplus::Appender
{
public:
    /// @param descriptor open for writing; stays open
    explicit bounded_appender(int descriptor);
    ~bounded_appender() override;

    void close() override { closed = true; }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const &event) override;

private:
    bool may_write(log4cplus::LogLevel level, std::size_t bytes);
    bool write_line(std::string const &line) const;
    bool tell_dropped();

    int descriptor_;
    /// Bytes of lines below and from the level `warning`.
    token_bucket details_;
    token_bucket warnings_;
    std::uint64_t dropped_ = 0;
    std::uint64_t dropped_told_ = 0;
};

} // namespace agateledge

#endif
