#ifndef AGATELEDGE_STANDIN_SERVICE_HPP
#define AGATELEDGE_STANDIN_SERVICE_HPP

#include <cstdint>
#include <map>
#include <string>

namespace agateledge
{

/// Answer of the plain service stand-in.
struct standin_answer_body
{
    int http_status = 200;
    std::string body;
};

/// Model of a plain service, shared by all its endpoints. It applies every
/// POST that it receives and counts the effects by idempotency key, so that a
/// doubled booking is seen. It does not deduplicate.
class standin_service
{
public:
    /// Carries out one call.
    ///
    /// @param method "POST" has an effect, "GET" asks for the count
    /// @param key idempotency key of the call
    /// @param body body of the call
    standin_answer_body call(std::string const &method, std::string const &key,
                             std::string const &body);

    /// @return effects by idempotency key
    std::map<std::string, int> const &effects() const { return effects_; }

    /// @return keys with more than one effect
    int doubled() const;

private:
    std::map<std::string, int> effects_;
};

} // namespace agateledge

#endif
