#include "json_text.hpp"

#include "result_code.hpp"

#include <memory>

namespace agateledge
{

namespace
{

/// Maximum nesting depth. The parser of jsoncpp is recursive, so a deeper
/// document could exhaust the stack.
constexpr int max_nesting_depth = 64;

std::unique_ptr<Json::CharReader> make_reader()
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_nesting_depth;
    builder["strictRoot"] = false;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

} // namespace

std::string json_to_text(Json::Value const &value)
{
    static Json::StreamWriterBuilder const builder = []
    {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return settings;
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
    return make_status(result_code::invalid_request, "invalid JSON: " + errors);
}

} // namespace agateledge
