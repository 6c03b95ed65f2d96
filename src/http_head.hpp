#ifndef AGATELEDGE_HTTP_HEAD_HPP
#define AGATELEDGE_HTTP_HEAD_HPP

#include <string>
#include <utility>
#include <vector>

namespace agateledge
{

/// Header names and values in their original order; names may repeat.
using header_list = std::vector<std::pair<std::string, std::string>>;

} // namespace agateledge

#endif
