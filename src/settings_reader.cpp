#include "settings_reader.hpp"

#include "result_code.hpp"
#include "socket_address.hpp"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace agateledge
{

namespace
{

template <class Number>
std::string range_text(Number min, Number max)
{
    std::ostringstream text;
    text << "from " << min << " to " << max;
    return text.str();
}

} // namespace

settings_reader::settings_reader(toml::table const &table, std::string file,
                                 std::string path,
                                 std::vector<std::string> &faults)
    : table_(table), file_(std::move(file)), path_(std::move(path)),
      faults_(faults)
{
}

std::string settings_reader::full_key(std::string const &key) const
{
    if (key.empty())
    {
        return path_;
    }
    return path_.empty() ? key : path_ + "." + key;
}

void settings_reader::report_at(toml::source_region const &source,
                                std::string const &key, std::string const &text)
{
    std::ostringstream line;
    line << file_ << ":" << source.begin.line << ": " << full_key(key) << ": "
         << text;
    faults_.push_back(line.str());
}

void settings_reader::report(char const *key, std::string const &text)
{
    auto const *node = table_.get(key);
    report_at(node == nullptr ? table_.source() : node->source(), key, text);
}

toml::node const *settings_reader::find(char const *key)
{
    read_keys_.insert(key);
    return table_.get(key);
}

void settings_reader::read(char const *key, std::string &value, bool required)
{
    auto const *node = find(key);
    if (node == nullptr)
    {
        if (required)
        {
            report(key, "is missing; must be a string");
        }
        return;
    }
    auto const text = node->value_exact<std::string>();
    if (!text || (required && text->empty()))
    {
        report(key, "must be a non-empty string");
        return;
    }
    value = *text;
}

void settings_reader::read_choice(char const *key, std::string &value,
                                  std::vector<std::string> const &allowed)
{
    auto text = value;
    read(key, text);
    if (std::ranges::find(allowed, text) != allowed.end())
    {
        value = text;
        return;
    }
    std::string list;
    std::ranges::for_each(allowed, [&list](std::string const &item)
                          { list += (list.empty() ? "" : ", ") + item; });
    report(key, "\"" + text + "\" is not one of " + list);
}

void settings_reader::read_address(char const *key, std::string &value,
                                   bool required)
{
    auto text = value;
    read(key, text, required);
    if (!text.empty() && !parse_socket_address(text))
    {
        report(key, "\"" + text +
                        "\" is not an IP address and port such as "
                        "\"127.0.0.1:8080\"");
        return;
    }
    value = text;
}

void settings_reader::read_sha256(char const *key, std::string &value)
{
    constexpr std::size_t digits = 64;
    std::string text;
    read(key, text, true);
    bool const valid =
        text.size() == digits &&
        std::ranges::all_of(
            text, [](unsigned char c)
            { return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f'); });
    if (!text.empty() && !valid)
    {
        report(key,
               "must be a SHA-256 digest of 64 lower-case hexadecimal digits");
        return;
    }
    value = text;
}

void settings_reader::read(char const *key, bool &value)
{
    auto const *node = find(key);
    if (node == nullptr)
    {
        return;
    }
    auto const flag = node->value_exact<bool>();
    if (!flag)
    {
        report(key, "must be true or false");
        return;
    }
    value = *flag;
}

void settings_reader::read(char const *key, std::int64_t &value,
                           std::int64_t min, std::int64_t max)
{
    auto const *node = find(key);
    if (node == nullptr)
    {
        return;
    }
    auto const number = node->value_exact<std::int64_t>();
    if (!number || *number < min || *number > max)
    {
        report(key, "must be an integer " + range_text(min, max));
        return;
    }
    value = *number;
}

void settings_reader::read(char const *key, int &value, int min, int max)
{
    std::int64_t number = value;
    read(key, number, std::int64_t{min}, std::int64_t{max});
    value = static_cast<int>(number);
}

void settings_reader::read(char const *key, double &value, double min,
                           double max)
{
    auto const *node = find(key);
    if (node == nullptr)
    {
        return;
    }
    auto const number =
        node->is_number() ? node->value<double>() : std::optional<double>();
    if (!number || !(*number >= min && *number <= max))
    {
        report(key, "must be a number " + range_text(min, max));
        return;
    }
    value = *number;
}

void settings_reader::read_megabytes(char const *key, std::size_t &bytes)
{
    constexpr unsigned mebibyte_bits = 20;
    constexpr std::int64_t min = 64;
    constexpr std::int64_t max = std::int64_t{1} << 20;
    auto number = static_cast<std::int64_t>(bytes >> mebibyte_bits);
    read(key, number, min, max);
    bytes = static_cast<std::size_t>(number) << mebibyte_bits;
}

void settings_reader::read_milliseconds(char const *key, duration &value)
{
    constexpr std::int64_t max = milliseconds(hours(24)).count();
    auto number = std::chrono::duration_cast<milliseconds>(value).count();
    read(key, number, std::int64_t{0}, max);
    value = milliseconds(number);
}

void settings_reader::read_seconds(char const *key, duration &value)
{
    constexpr double max = 24.0 * 3600;
    auto number = to_seconds(value);
    read(key, number, 0.0, max);
    value = from_seconds(number);
}

toml::table const *settings_reader::table(char const *key)
{
    auto const *node = find(key);
    if (node == nullptr)
    {
        return nullptr;
    }
    if (!node->is_table())
    {
        report(key, std::string("must be a table: [") + key + "]");
    }
    return node->as_table();
}

std::vector<toml::table const *> settings_reader::tables(char const *key)
{
    std::vector<toml::table const *> out;
    auto const *node = find(key);
    if (node == nullptr)
    {
        return out;
    }
    auto const *array = node->as_array();
    bool const valid =
        array != nullptr &&
        std::all_of(array->begin(), array->end(),
                    [](toml::node const &item) { return item.is_table(); });
    if (!valid)
    {
        report(key, std::string("must be an array of tables: [[") + key + "]]");
        return out;
    }
    std::transform(array->begin(), array->end(), std::back_inserter(out),
                   [](toml::node const &item) { return item.as_table(); });
    return out;
}

std::vector<std::string> settings_reader::strings(char const *key)
{
    std::vector<std::string> out;
    auto const *node = find(key);
    if (node == nullptr)
    {
        return out;
    }
    auto const *array = node->as_array();
    bool const valid =
        array != nullptr &&
        std::all_of(array->begin(), array->end(),
                    [](toml::node const &item) { return item.is_string(); });
    if (!valid)
    {
        report(key, "must be an array of strings");
        return out;
    }
    std::transform(array->begin(), array->end(), std::back_inserter(out),
                   [](toml::node const &item)
                   { return item.value_or(std::string()); });
    return out;
}

settings_reader settings_reader::subtable(toml::table const &table,
                                          std::string const &key) const
{
    return {table, file_, full_key(key), faults_};
}

void settings_reader::report_unknown_keys()
{
    for (auto const &[key, node] : table_)
    {
        std::string const name(key.str());
        if (!read_keys_.contains(name))
        {
            std::string list;
            std::ranges::for_each(read_keys_,
                                  [&list](std::string const &item) {
                                      list += (list.empty() ? "" : ", ") + item;
                                  });
            report_at(node.source(), name, "unknown key; allowed: " + list);
        }
    }
}

absl::Status
read_settings_text(std::string const &text, std::string const &file,
                   std::function<void(settings_reader &)> const &read)
{
    toml::table table;
    try
    {
        table = toml::parse(text, file);
    }
    catch (toml::parse_error const &error)
    {
        std::ostringstream message;
        message << file << ":" << error.source().begin.line << ": "
                << error.description();
        return make_status(result_code::settings_invalid, message.str());
    }
    std::vector<std::string> faults;
    settings_reader root(table, file, "", faults);
    read(root);
    if (faults.empty())
    {
        return absl::OkStatus();
    }
    std::string lines;
    std::ranges::for_each(faults, [&lines](std::string const &fault)
                          { lines += (lines.empty() ? "" : "\n") + fault; });
    return make_status(result_code::settings_invalid, lines);
}

absl::StatusOr<std::string> read_settings_file(std::string const &file)
{
    std::ifstream stream(file);
    if (!stream)
    {
        return make_status(result_code::settings_invalid,
                           file + ": cannot be opened");
    }
    return std::string((std::istreambuf_iterator<char>(stream)), {});
}

} // namespace agateledge
