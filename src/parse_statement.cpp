#include "parse_statement.hpp"

#include "query_columns.hpp"
#include "result_code.hpp"
#include "statement_parsers.hpp"
#include "statement_words.hpp"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <utility>

namespace agateledge
{

namespace grammar
{

namespace
{

using x3::_attr;
using x3::_pass;
using x3::_val;
using x3::attr;
using x3::char_;
using x3::lexeme;
using x3::lit;

constexpr std::string_view column_description = "a column";

/// State shared by the rules of one parse: the target of the query decides
/// which columns are valid.
struct parse_state
{
    query_target target = query_target::services;
};

struct state_tag;

template <class Context>
parse_state &state_of(Context &context)
{
    return x3::get<state_tag>(context).get();
}

/// @return an action that stores the attribute in `member` of the rule's value
template <class Class, class Member>
auto put(Member Class::*member)
{
    return [member](auto &context) { _val(context).*member = _attr(context); };
}

/// @return an action that stores a constant in `member` of the rule's value
template <class Class, class Member>
auto put(Member Class::*member, Member value)
{
    return [member, value](auto &context) { _val(context).*member = value; };
}

/// @return an action that appends the attribute to `member`
template <class Class, class Member>
auto append(Member Class::*member)
{
    return [member](auto &context)
    { (_val(context).*member).push_back(_attr(context)); };
}

auto const store = [](auto &context) { _val(context) = _attr(context); };

/// Unsigned numbers; "nan" and "inf" are rejected.
struct real_policies : x3::ureal_policies<double>
{
    template <class Iterator, class Attribute>
    static bool parse_nan(Iterator & /*first*/, Iterator const & /*last*/,
                          Attribute & /*attribute*/)
    {
        return false;
    }

    template <class Iterator, class Attribute>
    static bool parse_inf(Iterator & /*first*/, Iterator const & /*last*/,
                          Attribute & /*attribute*/)
    {
        return false;
    }
};

/// Largest number in a statement: about thirty years in microseconds, so that a
/// sum of a few durations does not overflow.
constexpr double max_number = 1e15;

auto const check_max_number = [](auto &context)
{
    _val(context) = _attr(context);
    _pass(context) = _attr(context) <= max_number;
};

// x3::space asserts on bytes above 127, which the text may contain.
auto const skipper =
    char_(" \t\r\n\v\f") |
    x3::omit["--" >> *(char_ - x3::eol) >> (x3::eol | x3::eoi)];

// Names and numbers.
x3::rule<struct quoted_tag, std::string> const quoted = "text";
auto const quoted_def = lexeme['"' >> +(('\\' >> char_) | ~char_("\"\\")) >
                               named(lit('"'), "a closing quote")];
BOOST_SPIRIT_DEFINE(quoted)
x3::rule<struct bare_name_tag, std::string> const bare_name = "name";
auto const bare_name_def =
    lexeme[char_("a-zA-Z0-9_") >> *char_("a-zA-Z0-9_.:/@-")];
BOOST_SPIRIT_DEFINE(bare_name)
x3::rule<struct any_name_tag, std::string> const any_name = "name";
auto const any_name_def = quoted | bare_name;
BOOST_SPIRIT_DEFINE(any_name)
auto const name = named(any_name, "a name");
auto const value = named(any_name, "a value");
x3::rule<struct real_tag, double> const real_number = "number";
auto const real_number_def =
    x3::real_parser<double, real_policies>()[check_max_number];
BOOST_SPIRIT_DEFINE(real_number)
auto const real = named(real_number, "a number");
auto const uint_number = named(x3::uint_, "a whole number");
auto const uint64_number = named(x3::ulong_long, "a whole number");

struct unit_symbols : x3::symbols<double>
{
    unit_symbols()
    {
        add("us", 1)("ms", 1e3)("s", 1e6)("min", 60e6)("h", 3600e6);
    }
} const unit;

struct duration_parts
{
    double number = 0;
    double unit = 1;
};

auto const scale_to_microseconds = [](auto &context)
{
    auto const parts = _attr(context);
    _val(context) = std::round(parts.number * parts.unit);
    _pass(context) = _val(context) <= max_number;
};

x3::rule<struct duration_with_unit_tag, duration_parts> const
    duration_with_unit = "duration";
auto const duration_with_unit_def =
    lexeme[real_number[put(&duration_parts::number)] >>
           unit[put(&duration_parts::unit)]];
BOOST_SPIRIT_DEFINE(duration_with_unit)
x3::rule<struct duration_tag, double> const duration_text = "duration";
auto const duration_text_def = duration_with_unit[scale_to_microseconds];
BOOST_SPIRIT_DEFINE(duration_text)
auto const duration_value =
    named(duration_text, "a duration such as 250ms or 2s");

struct role_symbols : x3::symbols<engine_role>
{
    role_symbols()
    {
        add("mixed", engine_role::mixed)("prefill", engine_role::prefill)(
            "decode", engine_role::decode);
    }
} const role_word;

auto const role = named(lexeme[role_word >> !char_("a-zA-Z0-9_")],
                        "a role (mixed, prefill, decode)");

// Queries.
struct comparison_symbols : x3::symbols<comparison>
{
    comparison_symbols()
    {
        std::ranges::for_each(comparison_words, [this](auto const &row)
                              { add(std::string(row.second), row.first); });
    }
} const comparison_sign;

auto const relation =
    named(comparison_sign, "a comparison (=, !=, <, <=, >, >= or contains)");

auto const check_column = [](auto &context)
{
    auto const &columns = columns_of(state_of(context).target);
    auto const found = std::ranges::find(columns, _attr(context));
    _pass(context) = found != columns.end();
    _val(context) = _attr(context);
};

x3::rule<struct column_tag, std::string> const column_name = "column";
auto const column_name_def = bare_name[check_column];
BOOST_SPIRIT_DEFINE(column_name)
auto const column = named(column_name, column_description);

x3::rule<struct condition_tag, query_condition> const condition = "condition";
auto const condition_def = column[put(&query_condition::column)] >
                           relation[put(&query_condition::relation)] >
                           value[put(&query_condition::value)];
BOOST_SPIRIT_DEFINE(condition)

x3::rule<struct direction_tag, bool> const order_direction = "direction";
auto const order_direction_def = (keyword("desc") >> attr(true))[store] |
                                 (keyword("asc") >> attr(false))[store];
BOOST_SPIRIT_DEFINE(order_direction)

x3::rule<struct order_tag, query_order> const order = "order";
auto const order_def = column[put(&query_order::column)] >>
                       -order_direction[put(&query_order::descending)];
BOOST_SPIRIT_DEFINE(order)

auto const resolve_target = [](auto &context)
{
    auto const &targets = query_targets();
    auto const found = std::ranges::find_if(
        targets, [&context](query_target target)
        { return equal_ignoring_case(name_of(target), _attr(context)); });
    _pass(context) = found != targets.end();
    if (found != targets.end())
    {
        _val(context) = *found;
        state_of(context).target = *found;
    }
};

x3::rule<struct target_tag, query_target> const target_name = "target";
auto const target_name_def = bare_name[resolve_target];
BOOST_SPIRIT_DEFINE(target_name)
auto const target =
    named(target_name,
          "what to show (services, classes, engines, endpoints, models, "
          "roles, leases, orders, hosts, callers, revisions or requests)");

auto const one_condition =
    named(condition, column_description)[append(&query_statement::conditions)];

x3::rule<struct query_tag, query_statement> const query = "query";
auto const query_def =
    keyword("show") > target[put(&query_statement::target)] >
    -(keyword("where") > one_condition > *(keyword("and") > one_condition)) >
    -(keyword("order") > keyword("by") >
      named(order, column_description)[put(&query_statement::order)]) >
    -(keyword("limit") > uint_number[put(&query_statement::limit)]);
BOOST_SPIRIT_DEFINE(query)

// Changes of the configuration.
x3::rule<struct create_tag, create_service> const create = "create";
auto const create_def =
    keyword("create") > keyword("service") > name[put(&create_service::name)] >
    named((keyword("model") > name[put(&create_service::model)]) |
              (keyword("plain") >> attr(true)[put(&create_service::plain)]),
          "\"model\" or \"plain\"");
BOOST_SPIRIT_DEFINE(create)

x3::rule<struct drop_service_tag, drop_service> const drop_service_rule =
    "drop";
auto const drop_service_rule_def =
    keyword("service") > name[put(&drop_service::name)];
BOOST_SPIRIT_DEFINE(drop_service_rule)
x3::rule<struct drop_class_tag, drop_class> const drop_class_rule = "drop";
auto const
    drop_class_rule_def = keyword("class") > name[put(&drop_class::name)] >
                          keyword("of") > name[put(&drop_class::service)];
BOOST_SPIRIT_DEFINE(drop_class_rule)

template <class Parser>
auto field(class_field which, Parser const &parser)
{
    return keyword(word_of(class_field_words, which)) >
           parser[put(&class_setting::value)] >
           attr(which)[put(&class_setting::field)];
}

x3::rule<struct boolean_tag, double> const boolean_word = "truth";
auto const boolean_word_def = (keyword("true") >> attr(1.0))[store] |
                              (keyword("false") >> attr(0.0))[store];
BOOST_SPIRIT_DEFINE(boolean_word)
auto const boolean_value = named(boolean_word, "\"true\" or \"false\"");

x3::rule<struct setting_tag, class_setting> const setting = "setting";
auto const setting_def = field(class_field::priority, uint_number) |
                         field(class_field::first_token, duration_value) |
                         field(class_field::token_interval, duration_value) |
                         field(class_field::finish, duration_value) |
                         field(class_field::weight, real) |
                         field(class_field::may_wait, boolean_value) |
                         field(class_field::expected_output, uint_number);
BOOST_SPIRIT_DEFINE(setting)

x3::rule<struct set_class_tag, set_class> const class_settings = "class";
auto const class_settings_def =
    keyword("class") > name[put(&set_class::name)] >
    keyword("of") > name[put(&set_class::service)] >
    named(+setting[append(&set_class::settings)],
          "a field (priority, first_token, token_interval, finish, "
          "weight, may_wait or expected_output)");
BOOST_SPIRIT_DEFINE(class_settings)

x3::rule<struct set_limit_tag, set_limit> const limit_settings = "limit";
auto const
    limit_settings_def = keyword("limit") > keyword("of") >
                         keyword("caller") > name[put(&set_limit::caller)] >
                         keyword("rate") > real[put(&set_limit::rate)] >
                         -(keyword("burst") > real[put(&set_limit::burst)]);
BOOST_SPIRIT_DEFINE(limit_settings)

x3::rule<struct assign_tag, assign_engine> const assign = "assign";
auto const
    assign_def = keyword("assign") >
                 keyword("engine") > name[put(&assign_engine::engine)] >
                 keyword("to") > name[put(&assign_engine::service)] >
                 -(keyword("at") > name[put(&assign_engine::address)] >
                   keyword("in") > name[put(&assign_engine::data_centre)]) >
                 -(keyword("role") > role[put(&assign_engine::role)]) >
                 -(keyword("version") > name[put(&assign_engine::version)]);
BOOST_SPIRIT_DEFINE(assign)

x3::rule<struct release_tag, release_engine> const release = "release";
auto const release_def = keyword("release") >
                         keyword("engine") > name[put(&release_engine::engine)];
BOOST_SPIRIT_DEFINE(release)

template <class Value>
auto keyword_value(std::string_view text, Value constant)
{
    return keyword(text) >> attr(constant);
}

x3::rule<struct drain_kind_tag, drain_target> const drain_word = "kind";
auto const drain_word_def =
    keyword_value("engine", drain_target::engine)[store] |
    keyword_value("endpoint", drain_target::endpoint)[store] |
    keyword_value("host", drain_target::host)[store];
BOOST_SPIRIT_DEFINE(drain_word)
auto const drain_kind =
    named(drain_word, "\"engine\", \"endpoint\" or \"host\"");

x3::rule<struct drain_tag, set_drain> const drain = "drain";
auto const drain_def =
    ((keyword("drain") >> attr(true)[put(&set_drain::draining)]) |
     (keyword("undrain") >> attr(false)[put(&set_drain::draining)])) >
    drain_kind[put(&set_drain::target)] > name[put(&set_drain::name)];
BOOST_SPIRIT_DEFINE(drain)

x3::rule<struct withdraw_tag, set_withdrawn> const withdraw = "withdraw";
auto const withdraw_def =
    ((keyword("withdraw") >> attr(true)[put(&set_withdrawn::withdrawn)]) |
     (keyword("restore") >> attr(false)[put(&set_withdrawn::withdrawn)])) >
    keyword("engine") > name[put(&set_withdrawn::engine)];
BOOST_SPIRIT_DEFINE(withdraw)

x3::rule<struct change_tag, configuration_change> const change = "change";
auto const change_def =
    create[store] |
    (keyword("drop") > named(drop_service_rule[store] | drop_class_rule[store],
                             "\"service\" or \"class\"")) |
    (keyword("set") > named(class_settings[store] | limit_settings[store],
                            "\"class\" or \"limit\"")) |
    assign[store] | release[store] | drain[store] | withdraw[store];
BOOST_SPIRIT_DEFINE(change)

// Transactions, orders and other statements.
constexpr std::string_view change_description =
    "a change (create, drop, set, assign, release, drain, undrain, withdraw "
    "or restore)";
constexpr std::string_view change_or_commit =
    "a change (create, drop, set, assign, release, drain, undrain, withdraw "
    "or restore) or \"commit\"";
auto const semicolon = named(lit(';'), "\";\"");

x3::rule<struct transaction_tag, transaction_statement> const transaction =
    "transaction";
auto const transaction_def =
    (keyword("begin") > -(keyword("on") > keyword("revision") >
                          uint64_number[put(&transaction_statement::base)]) >
     semicolon >
     named(change,
           change_description)[append(&transaction_statement::changes)] >
     semicolon > *(change[append(&transaction_statement::changes)] >
                   semicolon) > named(keyword("commit"), change_or_commit)) |
    change[append(&transaction_statement::changes)];
BOOST_SPIRIT_DEFINE(transaction)

x3::rule<struct load_tag, load_version> const version_load = "load";
auto const
    version_load_def = keyword("version") > name[put(&load_version::version)] >
                       keyword("on") >
                       keyword("engine") > name[put(&load_version::engine)];
BOOST_SPIRIT_DEFINE(version_load)
x3::rule<struct adapter_tag, load_adapter> const adapter_load = "load";
auto const
    adapter_load_def = keyword("adapter") > name[put(&load_adapter::adapter)] >
                       keyword("version") > name[put(&load_adapter::version)] >
                       keyword("on") >
                       keyword("engine") > name[put(&load_adapter::engine)];
BOOST_SPIRIT_DEFINE(adapter_load)
x3::rule<struct change_role_tag, change_role> const role_change = "change role";
auto const
    role_change_def = keyword("change") > keyword("role") > keyword("of") >
                      keyword("engine") > name[put(&change_role::engine)] >
                      keyword("to") > role[put(&change_role::role)];
BOOST_SPIRIT_DEFINE(role_change)

x3::rule<struct order_change_tag, order_change> const order_of_engine = "order";
auto const order_of_engine_def =
    (keyword("load") > named(version_load[store] | adapter_load[store],
                             "\"version\" or \"adapter\"")) |
    role_change[store];
BOOST_SPIRIT_DEFINE(order_of_engine)

x3::rule<struct order_statement_tag, order_statement> const engine_order_rule =
    "order";
auto const engine_order_rule_def =
    order_of_engine[put(&order_statement::order)];
BOOST_SPIRIT_DEFINE(engine_order_rule)

x3::rule<struct undo_tag, undo_statement> const undo = "undo";
auto const undo_def = keyword("undo") > keyword("revision") >
                      uint64_number[put(&undo_statement::revision)];
BOOST_SPIRIT_DEFINE(undo)

x3::rule<struct why_tag, why_statement> const why_of = "why";
auto const why_of_def =
    keyword("why") >
    named((keyword("request") > uint64_number[put(&why_statement::request)] >
           attr(why_subject::request)[put(&why_statement::subject)]) |
              (keyword("engine") > name[put(&why_statement::engine)] >
               attr(why_subject::engine)[put(&why_statement::subject)]) |
              (keyword("refusal") >
               -uint64_number[put(&why_statement::request)] >
               attr(why_subject::refusal)[put(&why_statement::subject)]),
          "\"request\", \"engine\" or \"refusal\"");
BOOST_SPIRIT_DEFINE(why_of)

x3::rule<struct history_tag, history_statement> const history = "history";
auto const history_def = keyword("history") >
                         -(keyword("limit") >
                           uint_number[put(&history_statement::limit)]);
BOOST_SPIRIT_DEFINE(history)

auto const set_dry_run = [](auto &context)
{
    auto item = _attr(context);
    item.dry_run = true;
    _val(context) = item;
};

x3::rule<struct dry_tag, statement> const dry_statement = "dry run";
auto const dry_statement_def =
    (keyword("dry") > keyword("run") >
     named(transaction[set_dry_run] | engine_order_rule[set_dry_run] |
               undo[set_dry_run],
           "a change, an order, \"undo\" or \"begin\""));
BOOST_SPIRIT_DEFINE(dry_statement)

x3::rule<struct statement_tag, statement> const any_statement = "statement";
auto const any_statement_def = query[store] | dry_statement[store] |
                               transaction[store] | engine_order_rule[store] |
                               why_of[store] | history[store] | undo[store];
BOOST_SPIRIT_DEFINE(any_statement)

constexpr std::string_view statement_description =
    "a statement (show, why, history, undo, dry run, begin, create, drop, set, "
    "assign, release, load, change role, drain, undrain, withdraw or restore)";

x3::rule<struct complete_tag, statement> const complete_statement = "text";
auto const complete_statement_def = x3::eps >
                                    named(any_statement,
                                          statement_description)[store] >
                                    -lit(';') >
                                    named(x3::eoi, "the end of the statement");
BOOST_SPIRIT_DEFINE(complete_statement)

} // namespace

} // namespace grammar

namespace
{

/// @return "line L, column C" of the byte at `offset`, both counted from 1
std::string position_of(std::string_view text, std::size_t offset)
{
    auto const before = text.substr(0, offset);
    auto const line = std::ranges::count(before, '\n') + 1;
    auto const line_start = before.rfind('\n') + 1;
    constexpr unsigned continuation_mask = 0xC0;
    constexpr unsigned continuation = 0x80;
    auto const column = std::ranges::count_if(
        before.substr(line_start), [](unsigned char byte)
        { return (byte & continuation_mask) != continuation; });
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column + 1);
}

/// @return the word at the start of `text` in quotes, shortened for an error
///         message
std::string token_at(std::string_view text)
{
    constexpr std::size_t max_shown_bytes = 40;
    if (text.empty())
    {
        return "the end of the text";
    }
    auto const end = text.find_first_of(" \t\r\n;", 1);
    auto shown = text.substr(0, std::min(end, text.size()));
    if (shown.size() > max_shown_bytes)
    {
        char const *cut =
            g_utf8_find_prev_char(shown.data(), shown.data() + max_shown_bytes);
        auto const length =
            cut == nullptr ? max_shown_bytes : cut - shown.data();
        return "\"" + std::string(shown.substr(0, length)) + "...\"";
    }
    return "\"" + std::string(shown) + "\"";
}

absl::Status error_at(std::string_view text, std::size_t offset,
                      std::string const &expected)
{
    return make_status(result_code::invalid_statement,
                       position_of(text, offset) + ": expected " + expected +
                           ", found " + token_at(text.substr(offset)));
}

std::string describe_expected(std::string const &expected, query_target target)
{
    if (expected != grammar::column_description)
    {
        return expected;
    }
    std::string list;
    for (auto const column : columns_of(target))
    {
        list += list.empty() ? "" : ", ";
        list += column;
    }
    return "a column of " + std::string(name_of(target)) + " (" + list + ")";
}

absl::Status check_text(std::string_view text)
{
    if (text.size() > max_statement_bytes)
    {
        return make_status(result_code::invalid_statement,
                           "the statement has " + std::to_string(text.size()) +
                               " bytes; at most " +
                               std::to_string(max_statement_bytes) +
                               " are allowed");
    }
    char const *invalid = nullptr;
    if (g_utf8_validate_len(text.data(), text.size(), &invalid) == 0)
    {
        return make_status(result_code::invalid_statement,
                           position_of(text, invalid - text.data()) +
                               ": expected UTF-8, found an invalid byte");
    }
    return absl::OkStatus();
}

/// Checks the bounds that the grammar does not express.
absl::Status check_size(statement const &parsed)
{
    auto const *transaction = std::get_if<transaction_statement>(&parsed);
    if (transaction != nullptr &&
        transaction->changes.size() > max_transaction_changes)
    {
        return make_status(result_code::invalid_statement,
                           "the transaction has " +
                               std::to_string(transaction->changes.size()) +
                               " changes; at most " +
                               std::to_string(max_transaction_changes) +
                               " are allowed");
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<statement> parse_statement(std::string_view text)
{
    namespace x3 = grammar::x3;
    auto status = check_text(text);
    if (!status.ok())
    {
        return status;
    }
    char const *first = text.data();
    char const *const last = text.data() + text.size();
    grammar::parse_state state;
    statement parsed;
    try
    {
        auto const parser = x3::with<grammar::state_tag>(
            std::ref(state))[grammar::complete_statement];
        x3::phrase_parse(first, last, parser, grammar::skipper, parsed);
    }
    catch (x3::expectation_failure<char const *> const &failure)
    {
        char const *at = failure.where();
        x3::parse(at, last, *grammar::skipper);
        return error_at(text, at - text.data(),
                        describe_expected(failure.which(), state.target));
    }
    status = check_size(parsed);
    if (!status.ok())
    {
        return status;
    }
    return parsed;
}

} // namespace agateledge
