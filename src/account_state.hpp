#ifndef AGATELEDGE_ACCOUNT_STATE_HPP
#define AGATELEDGE_ACCOUNT_STATE_HPP

#include "account_directory.hpp"

#include <memory>

namespace agateledge
{

/// Client accounts of the requests of this daemon.
struct account_state
{
    /// Accounts by which the waiting requests were last authenticated.
    std::shared_ptr<account_directory const> authenticated_by;
};

} // namespace agateledge

#endif
