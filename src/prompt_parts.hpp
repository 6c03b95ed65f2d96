#ifndef AGATELEDGE_PROMPT_PARTS_HPP
#define AGATELEDGE_PROMPT_PARTS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace agateledge
{

struct proxy_request;

/// @return ids of the parts of the request's prompt that other prompts may
///         share: all but the last
std::vector<std::uint64_t> shared_parts_of(proxy_request const &request);

/// @return key of the request's prompt, the same when its caller sends it
///         again; 0 without a prompt
std::uint64_t prompt_key_of(proxy_request const &request);

/// @return the ids in hexadecimal, as callers write them, for a log field
std::string part_ids_text(std::vector<std::uint64_t> const &parts);

} // namespace agateledge

#endif
