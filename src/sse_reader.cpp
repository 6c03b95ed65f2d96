#include "sse_reader.hpp"

namespace agateledge
{

namespace
{

constexpr std::string_view data_prefix = "data:";

std::string_view data_of(std::string_view line)
{
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    if (!line.starts_with(data_prefix))
    {
        return {};
    }
    line.remove_prefix(data_prefix.size());
    if (line.starts_with(' '))
    {
        line.remove_prefix(1);
    }
    return line;
}

} // namespace

bool sse_reader::read(std::string_view bytes,
                      std::function<bool(std::string_view)> const &on_data)
{
    partial_line_.append(bytes);
    std::size_t begin = 0;
    auto end = partial_line_.find('\n');
    while (end != std::string::npos)
    {
        auto const line =
            std::string_view(partial_line_).substr(begin, end - begin);
        auto const data = data_of(line);
        if (!data.empty() && !on_data(data))
        {
            return false;
        }
        begin = end + 1;
        end = partial_line_.find('\n', begin);
    }
    partial_line_.erase(0, begin);
    return partial_line_.size() <= max_line_bytes;
}

} // namespace agateledge
