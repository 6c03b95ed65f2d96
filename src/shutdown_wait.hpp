#ifndef AGATELEDGE_SHUTDOWN_WAIT_HPP
#define AGATELEDGE_SHUTDOWN_WAIT_HPP

#include <functional>

namespace agateledge
{

/// Waits on the default GLib main context for the end of a graceful shutdown.
class shutdown_wait
{
public:
    shutdown_wait() = default;
    ~shutdown_wait();
    shutdown_wait(shutdown_wait const &) = delete;
    shutdown_wait &operator=(shutdown_wait const &) = delete;

    /// @return true once the wait has begun
    bool begun() const { return timer_ != 0; }

    /// Begins to wait.
    ///
    /// @param is_finished true once the daemon has nothing left to do
    /// @param on_finished runs once then
    void begin(std::function<bool()> is_finished,
               std::function<void()> on_finished);

private:
    void check();

    std::function<bool()> is_finished_;
    std::function<void()> on_finished_;
    unsigned timer_ = 0;
};

} // namespace agateledge

#endif
