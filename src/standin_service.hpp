#ifndef AGATELEDGE_STANDIN_SERVICE_HPP
#define AGATELEDGE_STANDIN_SERVICE_HPP

#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// HTTP response of the plain service stand-in.
struct standin_response
{
    int http_status = 200;
    std::string body;
};

/// Model of a plain service, shared by all its endpoints. It applies every
/// POST that it receives and counts the effects by idempotency key. It does not
/// deduplicate, so that tests can detect duplicate bookings.
class standin_service
{
public:
    /// Handles one call.
    ///
    /// @param method "POST" has an effect; any other method returns the number
    ///        of effects
    /// @param key idempotency key of the call
    /// @param body body of the call
    standin_response call(std::string const &method, std::string const &key,
                          std::string const &body);

    /// @return number of effects by idempotency key
    std::map<std::string, int> const &effect_counts() const
    {
        return effect_counts_;
    }

    /// @return number of keys with more than one effect
    int duplicate_count() const;

private:
    std::map<std::string, int> effect_counts_;
};

} // namespace agateledge

#endif
