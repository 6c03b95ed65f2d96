#ifndef AGATELEDGE_SHUTDOWN_WAIT_HPP
#define AGATELEDGE_SHUTDOWN_WAIT_HPP

#include <functional>

namespace agateledge
{

/// Polls on the default GLib main context until a graceful shutdown has
/// finished.
class shutdown_wait
{
public:
    shutdown_wait() = default;
    ~shutdown_wait();
    shutdown_wait(shutdown_wait const &) = delete;
    shutdown_wait &operator=(shutdown_wait const &) = delete;

    /// @return true once `begin` was called
    bool begun() const { return timer_ != 0; }

    /// Starts polling.
    ///
    /// @param is_finished returns true once the daemon has no work left
    /// @param on_finished runs once, after `is_finished` has returned true
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
