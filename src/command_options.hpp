#ifndef AGATELEDGE_COMMAND_OPTIONS_HPP
#define AGATELEDGE_COMMAND_OPTIONS_HPP

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace agateledge
{

/// Exit codes of every subcommand; docs/result-codes.md lists them.
constexpr int exit_success = 0;
/// The command line was valid, and the command failed.
constexpr int exit_failure = 1;
/// The command line or the settings are invalid.
constexpr int exit_usage = 2;

/// Options of one subcommand; each has --help and --version.
class command_options
{
public:
    /// @param title first line of the help text
    explicit command_options(std::string const &title);

    /// @return an object that adds options when it is called
    boost::program_options::options_description_easy_init add();

    /// Allows an option to be given as a positional argument, without its name.
    void set_positional(char const *option);

    /// Parses the arguments. Prints the error and the help text when they are
    /// invalid; handles --help and --version.
    ///
    /// @param arguments command line after the subcommand
    /// @param required names of options that must be given
    /// @return the exit code when the process must exit, otherwise nothing
    std::optional<int> parse(std::vector<std::string> const &arguments,
                             std::vector<std::string> const &required = {});

    boost::program_options::variables_map const &values() const
    {
        return values_;
    }

private:
    std::optional<int>
    check_required(std::vector<std::string> const &required) const;

    boost::program_options::options_description description_;
    boost::program_options::positional_options_description positional_;
    boost::program_options::variables_map values_;
};

} // namespace agateledge

#endif
