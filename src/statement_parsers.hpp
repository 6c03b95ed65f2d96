#ifndef AGATELEDGE_STATEMENT_PARSERS_HPP
#define AGATELEDGE_STATEMENT_PARSERS_HPP

#include <boost/spirit/home/x3.hpp>

#include <cctype>
#include <string>
#include <string_view>

namespace agateledge::grammar
{

namespace x3 = boost::spirit::x3;

/// @return true for a byte that a word of the operator language may contain
inline bool is_word_byte(char byte)
{
    auto const value = static_cast<unsigned char>(byte);
    return std::isalnum(value) != 0 || byte == '_';
}

/// Compares two texts, ignoring the case of letters.
inline bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char a, unsigned char b)
                      { return std::tolower(a) == std::tolower(b); });
}

/// Parses a reserved word, ignoring case; a longer word does not match.
struct keyword_parser : x3::parser<keyword_parser>
{
    using attribute_type = x3::unused_type;
    static bool const has_attribute = false;

    explicit keyword_parser(std::string_view word) : text(word) {}

    template <class Iterator, class Context, class RuleContext, class Attribute>
    bool parse(Iterator &first, Iterator const &last, Context const &context,
               RuleContext & /*rule*/, Attribute & /*attribute*/) const
    {
        x3::skip_over(first, last, context);
        auto end = first;
        while (end != last && is_word_byte(*end))
        {
            ++end;
        }
        if (!equal_ignoring_case({first, end}, text))
        {
            return false;
        }
        first = end;
        return true;
    }

    std::string_view text;
};

/// Wraps a parser with the description that error messages show.
template <class Subject>
struct named_parser : x3::unary_parser<Subject, named_parser<Subject>>
{
    using base = x3::unary_parser<Subject, named_parser<Subject>>;
    static bool const is_pass_through_unary = true;
    static bool const handles_container = Subject::handles_container;

    named_parser(Subject const &subject, std::string_view description)
        : base(subject), text(description)
    {
    }

    template <class Iterator, class Context, class RuleContext, class Attribute>
    bool parse(Iterator &first, Iterator const &last, Context const &context,
               RuleContext &rule, Attribute &attribute) const
    {
        return this->subject.parse(first, last, context, rule, attribute);
    }

    std::string_view text;
};

/// @return a parser for the reserved word `text`
inline keyword_parser keyword(std::string_view text)
{
    return keyword_parser(text);
}

/// @return `subject` with a description for error messages
template <class Subject>
named_parser<typename x3::extension::as_parser<Subject>::value_type>
named(Subject const &subject, std::string_view description)
{
    return {x3::as_parser(subject), description};
}

} // namespace agateledge::grammar

namespace boost::spirit::x3
{

template <>
struct get_info<agateledge::grammar::keyword_parser>
{
    using result_type = std::string;
    std::string operator()(agateledge::grammar::keyword_parser const &p) const
    {
        return "\"" + std::string(p.text) + "\"";
    }
};

template <class Subject>
struct get_info<agateledge::grammar::named_parser<Subject>>
{
    using result_type = std::string;
    std::string
    operator()(agateledge::grammar::named_parser<Subject> const &p) const
    {
        return std::string(p.text);
    }
};

/// Describes an action by the parser that it is attached to.
template <class Subject, class Action>
struct get_info<action<Subject, Action>>
{
    using result_type = std::string;
    std::string operator()(action<Subject, Action> const &p) const
    {
        return what(p.subject);
    }
};

} // namespace boost::spirit::x3

#endif
