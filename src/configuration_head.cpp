#include "configuration_head.hpp"

#include "json_text.hpp"

namespace agateledge
{

std::string revision_key(revision_number revision)
{
    return "config/revision/" + std::to_string(revision.value());
}

std::string section_key(std::string const &digest)
{
    return "config/section/" + digest;
}

std::string configuration_head_to_text(configuration_head const &head)
{
    Json::Value out;
    out["revision"] = Json::UInt64(head.revision.value());
    out["author"] = head.author;
    out["attempt"] = head.write_id;
    return json_to_text(out);
}

configuration_head configuration_head_from_text(std::string const &text)
{
    auto const in = json_from_text(text);
    if (!in.ok() || !in->isObject())
    {
        return {};
    }
    try
    {
        return {revision_number((*in)["revision"].asUInt64()),
                (*in)["author"].asString(), (*in)["attempt"].asString()};
    }
    catch (Json::Exception const &)
    {
        return {};
    }
}

} // namespace agateledge
