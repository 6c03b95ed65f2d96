#include "append_configuration_writes.hpp"

#include "configuration_head.hpp"
#include "configuration_state.hpp"
#include "json_text.hpp"
#include "table_call.hpp"

#include <set>

namespace agateledge
{

namespace
{

std::set<std::string> digests_of(configuration_index const &index)
{
    std::set<std::string> digests;
    for (auto const &[name, digest] : index.sections)
    {
        digests.insert(digest);
    }
    return digests;
}

std::string index_text(configuration_index const &index,
                       std::string const &write_id)
{
    auto document = *json_from_text(configuration_index_to_json(index));
    document["attempt"] = write_id;
    return json_to_text(document);
}

} // namespace

void append_configuration_writes(table_call &call,
                                 configuration_state const &sync,
                                 configuration_index const &index,
                                 section_documents const &documents,
                                 std::string const &write_id)
{
    call.puts.push_back(
        {configuration_head_key,
         configuration_head_to_text({index.revision, index.author, write_id})});
    call.puts.push_back(
        {revision_key(index.revision), index_text(index, write_id)});
    auto const stored = digests_of(sync.stored);
    for (auto const &digest : digests_of(index))
    {
        if (!stored.contains(digest))
        {
            call.puts.push_back({section_key(digest), *documents.at(digest)});
        }
    }
}

} // namespace agateledge
