#ifndef AGATELEDGE_STATEMENT_WORDS_HPP
#define AGATELEDGE_STATEMENT_WORDS_HPP

#include "statement.hpp"

#include <array>
#include <string_view>
#include <utility>

namespace agateledge
{

/// Names of the fields of a class, for the parser and the printer.
inline constexpr std::array class_field_words{
    std::pair{class_field::priority, std::string_view("priority")},
    std::pair{class_field::first_token, std::string_view("first_token")},
    std::pair{class_field::token_interval, std::string_view("token_interval")},
    std::pair{class_field::finish, std::string_view("finish")},
    std::pair{class_field::weight, std::string_view("weight")},
    std::pair{class_field::may_wait, std::string_view("may_wait")},
    std::pair{class_field::expected_output,
              std::string_view("expected_output")},
};

/// Comparison operators; an operator comes before any prefix of it.
inline constexpr std::array comparison_words{
    std::pair{comparison::not_equal, std::string_view("!=")},
    std::pair{comparison::less_or_equal, std::string_view("<=")},
    std::pair{comparison::greater_or_equal, std::string_view(">=")},
    std::pair{comparison::equal, std::string_view("=")},
    std::pair{comparison::less, std::string_view("<")},
    std::pair{comparison::greater, std::string_view(">")},
    std::pair{comparison::contains, std::string_view("contains")},
};

inline constexpr std::array drain_target_words{
    std::pair{drain_target::engine, std::string_view("engine")},
    std::pair{drain_target::endpoint, std::string_view("endpoint")},
    std::pair{drain_target::host, std::string_view("host")},
};

/// @return the word for `value` in one of the tables above, or an empty text
template <class Table, class Value>
constexpr std::string_view word_of(Table const &table, Value value)
{
    for (auto const &[item, word] : table)
    {
        if (item == value)
        {
            return word;
        }
    }
    return {};
}

} // namespace agateledge

#endif
