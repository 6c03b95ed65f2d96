#ifndef AGATELEDGE_ROLE_CHANGE_EXECUTOR_HPP
#define AGATELEDGE_ROLE_CHANGE_EXECUTOR_HPP

#include "engine_order.hpp"
#include "virtual_deployment.hpp"

#include <map>
#include <string>

namespace agateledge
{

/// Applies role changes directly to the stand-in engines of a bench run: drains
/// the engine, sends the order and readmits work once the engine is ready. It
/// replaces the order records in the table service, which the bench does not
/// measure.
class role_change_executor
{
public:
    explicit role_change_executor(virtual_deployment &deployment)
        : deployment_(deployment)
    {
    }

    /// Starts a role change.
    ///
    /// @return false when a change of the engine is already in progress
    bool apply(engine_order const &order);

    int changes() const { return changes_; }

    /// @return total time that engines spent draining and changing roles
    duration time_unavailable() const { return time_unavailable_; }

private:
    struct change
    {
        engine_order order;
        instant started_at{};
        bool sent = false;
    };

    void set_changing(std::string const &engine, bool changing);
    void poll(std::string const &engine);

    virtual_deployment &deployment_;
    std::map<std::string, change> open_;
    int changes_ = 0;
    duration time_unavailable_{};
};

} // namespace agateledge

#endif
