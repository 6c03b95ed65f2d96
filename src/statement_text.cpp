#include "statement_text.hpp"

#include "query_columns.hpp"
#include "statement_parsers.hpp"
#include "statement_words.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace agateledge
{

namespace
{

/// @return true if the grammar accepts `name` without quotes
bool is_bare(std::string const &name)
{
    constexpr std::string_view name_symbols = ".:/@-";
    return !name.empty() && grammar::is_word_byte(name.front()) &&
           std::ranges::all_of(name,
                               [&name_symbols](char byte)
                               {
                                   return grammar::is_word_byte(byte) ||
                                          name_symbols.find(byte) !=
                                              name_symbols.npos;
                               });
}

/// @return `name`, in quotes if it needs them
std::string quote_if_needed(std::string const &name)
{
    if (is_bare(name))
    {
        return name;
    }
    std::string out = "\"";
    for (char const byte : name)
    {
        if (byte == '"' || byte == '\\')
        {
            out += '\\';
        }
        out += byte;
    }
    return out + "\"";
}

std::string number(double value)
{
    // The smallest positive number has 324 digits after the decimal point.
    constexpr std::size_t max_number_bytes = 400;
    std::array<char, max_number_bytes> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(),
                                   value, std::chars_format::fixed);
    return {text.data(), end.ptr};
}

bool is_duration(class_field field)
{
    return field == class_field::first_token ||
           field == class_field::token_interval || field == class_field::finish;
}

std::string text_of(class_setting const &setting)
{
    auto text =
        " " + std::string(word_of(class_field_words, setting.field)) + " ";
    if (setting.field == class_field::may_wait)
    {
        return text + (setting.value != 0 ? "true" : "false");
    }
    return text + number(setting.value) +
           (is_duration(setting.field) ? "us" : "");
}

struct change_printer
{
    std::string operator()(create_service const &value) const
    {
        return "create service " + quote_if_needed(value.name) +
               (value.plain ? " plain"
                            : " model " + quote_if_needed(value.model));
    }

    std::string operator()(drop_service const &value) const
    {
        return "drop service " + quote_if_needed(value.name);
    }

    std::string operator()(drop_class const &value) const
    {
        return "drop class " + quote_if_needed(value.name) + " of " +
               quote_if_needed(value.service);
    }

    std::string operator()(set_class const &value) const
    {
        auto text = "set class " + quote_if_needed(value.name) + " of " +
                    quote_if_needed(value.service);
        std::ranges::for_each(value.settings,
                              [&text](class_setting const &setting)
                              { text += text_of(setting); });
        return text;
    }

    std::string operator()(assign_engine const &value) const
    {
        auto text = "assign engine " + quote_if_needed(value.engine) + " to " +
                    quote_if_needed(value.service);
        if (!value.address.empty())
        {
            text += " at " + quote_if_needed(value.address) + " in " +
                    quote_if_needed(value.data_centre);
        }
        if (value.role)
        {
            text += " role " + std::string(name_of(*value.role));
        }
        if (!value.version.empty())
        {
            text += " version " + quote_if_needed(value.version);
        }
        return text;
    }

    std::string operator()(release_engine const &value) const
    {
        return "release engine " + quote_if_needed(value.engine);
    }

    std::string operator()(set_limit const &value) const
    {
        return "set limit of caller " + quote_if_needed(value.caller) +
               " rate " + number(value.rate) +
               (value.burst ? " burst " + number(*value.burst) : "");
    }

    std::string operator()(set_drain const &value) const
    {
        return std::string(value.draining ? "drain " : "undrain ") +
               std::string(word_of(drain_target_words, value.target)) + " " +
               quote_if_needed(value.name);
    }

    std::string operator()(set_withdrawn const &value) const
    {
        return (value.withdrawn ? "withdraw engine " : "restore engine ") +
               quote_if_needed(value.engine);
    }
};

struct order_printer
{
    std::string operator()(load_version const &value) const
    {
        return "load version " + quote_if_needed(value.version) +
               " on engine " + quote_if_needed(value.engine);
    }

    std::string operator()(load_adapter const &value) const
    {
        return "load adapter " + quote_if_needed(value.adapter) + " version " +
               quote_if_needed(value.version) + " on engine " +
               quote_if_needed(value.engine);
    }

    std::string operator()(change_role const &value) const
    {
        return "change role of engine " + quote_if_needed(value.engine) +
               " to " + std::string(name_of(value.role));
    }
};

struct statement_printer
{
    std::string operator()(query_statement const &value) const
    {
        auto text = "show " + std::string(name_of(value.target));
        std::string separator = " where ";
        for (auto const &condition : value.conditions)
        {
            text += separator + condition.column + " " +
                    std::string(word_of(comparison_words, condition.relation)) +
                    " " + quote_if_needed(condition.value);
            separator = " and ";
        }
        if (value.order)
        {
            text += " order by " + value.order->column +
                    (value.order->descending ? " desc" : "");
        }
        return text + limit_of(value.limit);
    }

    std::string operator()(transaction_statement const &value) const
    {
        std::string const dry = value.dry_run ? "dry run " : "";
        if (!value.base && value.changes.size() == 1)
        {
            return dry + to_text(value.changes.front());
        }
        auto text = dry + "begin";
        if (value.base)
        {
            text += " on revision " + std::to_string(*value.base);
        }
        text += "; ";
        std::ranges::for_each(value.changes,
                              [&text](configuration_change const &change)
                              { text += to_text(change) + "; "; });
        return text + "commit";
    }

    std::string operator()(order_statement const &value) const
    {
        return (value.dry_run ? "dry run " : "") + to_text(value.order);
    }

    std::string operator()(why_statement const &value) const
    {
        switch (value.subject)
        {
        case why_subject::request:
            return "why request " + std::to_string(value.request.value_or(0));
        case why_subject::engine:
            return "why engine " + quote_if_needed(value.engine);
        case why_subject::refusal:
            return value.request
                       ? "why refusal " + std::to_string(*value.request)
                       : "why refusal";
        }
        return "";
    }

    std::string operator()(history_statement const &value) const
    {
        return "history" + limit_of(value.limit);
    }

    std::string operator()(undo_statement const &value) const
    {
        return (value.dry_run ? "dry run undo revision " : "undo revision ") +
               std::to_string(value.revision);
    }

    static std::string limit_of(std::optional<unsigned> limit)
    {
        return limit ? " limit " + std::to_string(*limit) : "";
    }
};

} // namespace

std::string to_text(statement const &value)
{
    return std::visit(statement_printer{}, value);
}

std::string to_text(configuration_change const &value)
{
    return std::visit(change_printer{}, value);
}

std::string to_text(order_change const &value)
{
    return std::visit(order_printer{}, value);
}

} // namespace agateledge
