#include "json_text.hpp"

#include "result_code.hpp"

#include <memory>

namespace agateledge
{

namespace
{

/// Deepest nesting that is read; jsoncpp recurses, so that a deeper document
/// could exhaust the stack.
constexpr int max_nesting = 64;

std::unique_ptr<Json::CharReader> make_reader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_nesting;
    builder["strictRoot"] = false;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

} // namespace

std::string json_to_text(Json::Value const &value)
{
    static Json::StreamWriterBuilder const builder = []
    {
        Json::StreamWriterBuilder made;
        made["indentation"] = "";
        made["emitUTF8"] = true;
        return made;
    }();
    return Json::writeString(builder, value);
}

absl::StatusOr<Json::Value> json_from_text(std::string_view text)
{
    static auto const reader = make_reader();
    Json::Value value;
    std::string errors;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &value,
                          &errors))
        {
            return value;
        }
    }
    catch (Json::Exception const &error)
    {
        errors = error.what();
    }
    return make_status(result_code::invalid_request, "not JSON: " + errors);
}

} // namespace agateledge
