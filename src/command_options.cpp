#include "command_options.hpp"

#include <algorithm>
#include <iostream>

namespace agateledge
{

namespace po = boost::program_options;

command_options::command_options(std::string const &title) : description_(title)
{
    add()("help", "prints this text")("version", "prints the version");
}

po::options_description_easy_init command_options::add()
{
    return description_.add_options();
}

void command_options::set_positional(char const *option)
{
    positional_.add(option, 1);
}

std::optional<int>
command_options::parse(std::vector<std::string> const &arguments,
                       std::vector<std::string> const &required)
{
    try
    {
        po::store(po::command_line_parser(arguments)
                      .options(description_)
                      .positional(positional_)
                      .run(),
                  values_);
        po::notify(values_);
    }
    catch (po::error const &error)
    {
        std::cerr << error.what() << "\n" << description_;
        return exit_usage;
    }
    if (values_.count("help") != 0)
    {
        std::cout << description_;
        return exit_success;
    }
    if (values_.count("version") != 0)
    {
        std::cout << "agateledge " AGATELEDGE_VERSION "\n";
        return exit_success;
    }
    return check_required(required);
}

std::optional<int>
command_options::check_required(std::vector<std::string> const &required) const
{
    auto const missing =
        std::ranges::find_if(required, [this](std::string const &option)
                             { return values_.count(option) == 0; });
    if (missing == required.end())
    {
        return std::nullopt;
    }
    std::cerr << "the required option --" << *missing << " is missing\n"
              << description_;
    return exit_usage;
}

} // namespace agateledge
