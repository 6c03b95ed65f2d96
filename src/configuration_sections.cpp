#include "configuration_sections.hpp"

#include "configuration_json.hpp"
#include "json_text.hpp"
#include "result_code.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <iterator>
#include <utility>

namespace agateledge
{

namespace
{

/// With 26,000 accounts a shard has about 100 of them, or 17 KB, and the index
/// has 15 KB.
constexpr unsigned caller_shards = 256;

std::string caller_section(std::string const &name)
{
    std::array<char, 16> text{};
    auto const shard = XXH3_64bits(name.data(), name.size()) % caller_shards;
    std::snprintf(text.data(), text.size(), "callers/%02x",
                  static_cast<unsigned>(shard));
    return text.data();
}

/// Appends each item to its section, which `section_of` names.
template <class Item, class SectionOf>
void distribute(std::vector<Item> const &items,
                std::vector<Item> configuration::*list, SectionOf section_of,
                std::map<std::string, configuration> &parts)
{
    std::ranges::for_each(items, [&](Item const &item)
                          { (parts[section_of(item)].*list).push_back(item); });
}

std::map<std::string, configuration>
split_into_parts(configuration const &value)
{
    std::map<std::string, configuration> parts;
    auto &base = parts["base"];
    base.services = value.services;
    base.classes = value.classes;
    base.policy = value.policy;
    distribute(
        value.engines, &configuration::engines,
        [](engine_definition const &engine)
        { return "engines/" + engine.data_centre; },
        parts);
    distribute(
        value.endpoints, &configuration::endpoints,
        [](endpoint_definition const &endpoint)
        { return "endpoints/" + endpoint.data_centre; },
        parts);
    distribute(
        value.callers, &configuration::callers,
        [](caller_definition const &caller)
        { return caller_section(caller.name); },
        parts);
    return parts;
}

template <class Item>
void append(std::vector<Item> &to, std::vector<Item> &from)
{
    std::ranges::move(from, std::back_inserter(to));
}

void append_part(configuration &to, configuration part, bool base)
{
    append(to.services, part.services);
    append(to.classes, part.classes);
    append(to.engines, part.engines);
    append(to.endpoints, part.endpoints);
    append(to.callers, part.callers);
    if (base)
    {
        to.policy = part.policy;
    }
}

} // namespace

std::string section_digest(std::string_view document)
{
    auto const hash = XXH3_128bits(document.data(), document.size());
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return text.data();
}

configuration_index split_configuration(configuration const &value,
                                        section_documents &documents)
{
    configuration_index index{
        value.revision, value.author, value.changed_at, value.summary, {}};
    for (auto const &[name, part] : split_into_parts(value))
    {
        auto document =
            std::make_shared<std::string const>(configuration_to_json(part));
        auto const digest = section_digest(*document);
        index.sections.emplace(name, digest);
        documents.insert_or_assign(digest, std::move(document));
    }
    return index;
}

absl::StatusOr<configuration>
join_configuration(configuration_index const &index,
                   section_documents const &documents)
{
    configuration out;
    out.revision = index.revision;
    out.author = index.author;
    out.changed_at = index.changed_at;
    out.summary = index.summary;
    for (auto const &[name, digest] : index.sections)
    {
        auto const document = documents.find(digest);
        if (document == documents.end())
        {
            return make_status(result_code::settings_invalid,
                               "configuration section " + name + " is missing");
        }
        auto part = configuration_from_json(*document->second);
        if (!part.ok())
        {
            return part.status();
        }
        append_part(out, *std::move(part), name == "base");
    }
    return out;
}

std::string configuration_index_to_json(configuration_index const &index)
{
    Json::Value out;
    out["revision"] = Json::UInt64(index.revision.value());
    out["author"] = index.author;
    out["changed_at"] = Json::Int64(index.changed_at);
    out["summary"] = index.summary;
    for (auto const &[name, digest] : index.sections)
    {
        out["sections"][name] = digest;
    }
    return json_to_text(out);
}

absl::StatusOr<configuration_index>
configuration_index_from_json(std::string_view text)
{
    auto const document = json_from_text(text);
    if (!document.ok())
    {
        return document.status();
    }
    configuration_index out;
    try
    {
        out.revision = revision_number((*document)["revision"].asUInt64());
        out.author = (*document)["author"].asString();
        out.changed_at = (*document)["changed_at"].asInt64();
        out.summary = (*document)["summary"].asString();
        auto const &sections = (*document)["sections"];
        for (auto const &name : sections.getMemberNames())
        {
            out.sections.emplace(name, sections[name].asString());
        }
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::settings_invalid,
                           std::string("configuration index: ") + error.what());
    }
    // Without this check, a row with another kind of document would put an
    // empty configuration in force.
    if (!out.sections.contains("base"))
    {
        return make_status(result_code::settings_invalid,
                           "configuration index: the section base is missing");
    }
    return out;
}

} // namespace agateledge
