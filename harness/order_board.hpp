#ifndef AGATELEDGE_ORDER_BOARD_HPP
#define AGATELEDGE_ORDER_BOARD_HPP

#include "engine_order.hpp"
#include "virtual_deployment.hpp"

#include <map>
#include <string>

namespace agateledge
{

/// Carries out role changes directly on the engine stand-ins of a bench run: it
/// drains the engine, sends the order and lets work return. It stands for the
/// recorded orders of the table service, which the bench does not measure.
class order_board
{
public:
    explicit order_board(virtual_deployment &deployment)
        : deployment_(deployment)
    {
    }

    /// Takes up a role change.
    ///
    /// @return false when a change of the engine is under way
    bool take(engine_order const &order);

    int changes() const { return changes_; }

    /// @return time that engines spent draining and changing
    duration time_away() const { return time_away_; }

private:
    struct change
    {
        engine_order order;
        instant begun{};
        bool sent = false;
    };

    void mark(std::string const &engine, bool changing);
    void poll(std::string const &engine);

    virtual_deployment &deployment_;
    std::map<std::string, change> open_;
    int changes_ = 0;
    duration time_away_{};
};

} // namespace agateledge

#endif
