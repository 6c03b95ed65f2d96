// Guards against malformed input from callers, engines and the table service
// crashing the daemon or being misread as valid input.
#include "engine_protocol.hpp"
#include "json_text.hpp"
#include "model_request.hpp"
#include "request_id.hpp"
#include "signing_keys.hpp"
#include "sse_reader.hpp"
#include "table_protocol.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace agateledge;

/// Checks a property on a fixed sequence of generated cases.
template <class Property>
void check(Property property)
{
    rc::detail::TestParams params;
    params.seed = 11;
    params.maxSuccess = 2000;
    rc::detail::TestMetadata const metadata;
    auto const result = rc::detail::checkTestable(property, metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

// The conditions below are in double parentheses, because RC_ASSERT evaluates
// both sides of an unparenthesised `||`.

/// A valid document with some bytes replaced, removed or repeated.
std::string mutate(std::string text)
{
    auto const edits = *rc::gen::inRange(0, 5);
    for (int i = 0; i < edits && !text.empty(); ++i)
    {
        auto const at = *rc::gen::inRange<std::size_t>(0, text.size());
        auto const kind = *rc::gen::inRange(0, 3);
        if (kind == 0)
        {
            text[at] = *rc::gen::arbitrary<char>();
        }
        else if (kind == 1)
        {
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
        }
        else
        {
            text.insert(at, text.substr(0, *rc::gen::inRange(1, 20)));
        }
    }
    return text;
}

TEST(edge_fuzz, caller_bodies)
{
    check(
        []
        {
            auto const body = mutate(
                R"({"model":"manual","stream":true,"max_tokens":12,"seed":4,)"
                R"("messages":[{"role":"user","content":[{"type":"text",)"
                R"("text":"hall 4?"}]}],"prompt":"hall 4?",)"
                R"("stream_options":{"include_usage":true},"n":1})");
            for (auto const kind :
                 {completion_kind::chat, completion_kind::text})
            {
                auto const request = parse_model_request(kind, body, "a");
                RC_ASSERT((!request.ok() ||
                           (request->arrival.prompt_tokens >= 1 &&
                            request->arrival.max_output_tokens >= 1 &&
                            !request->arrival.model.empty())));
            }
        });
}

TEST(edge_fuzz, engine_replies)
{
    check(
        []
        {
            auto const text = mutate(
                R"({"kind":"chunk","offset":3,"tokens":1,"text":"t",)"
                R"("cached_tokens":2,"age_us":5,"running":1,"waiting":0,)"
                R"("waiting_prefill_tokens":9,"kv_tokens_used":8,)"
                R"("role":"mixed","generation":1,"ready":true,"events":)"
                R"([{"sequence":1,"prefix_hash":"77","stored":true}]})");
            auto const event = engine_event_from_text(attempt_number(1), text);
            RC_ASSERT(
                (!event.ok() || (event->offset >= 0 && event->tokens >= 0)));
            auto const load = load_report_from_text("e", text);
            RC_ASSERT(
                (!load.ok() || (load->running >= 0 && load->waiting >= 0)));
            cache_events_from_text("e", text).IgnoreError();
            order_outcome_from_text(text);
        });
}

TEST(edge_fuzz, table_replies)
{
    check(
        []
        {
            auto const text = mutate(
                R"({"outcome":"committed","rows":[{"key":"a","value":"{}",)"
                R"("version":4}]})");
            auto const reply = table_reply_from_text({}, text);
            RC_ASSERT((!reply.ok() ||
                       reply->outcome == table_outcome::committed ||
                       reply->outcome == table_outcome::conflict));
        });
}

TEST(edge_fuzz, events_are_the_same_however_the_stream_is_cut)
{
    check(
        []
        {
            auto const lines = *rc::gen::container<std::vector<std::string>>(
                rc::gen::string<std::string>());
            std::string stream;
            for (auto const &line : lines)
            {
                stream += "data: " + line + "\n\n";
            }
            std::vector<std::string> from_one_read;
            sse_reader reader;
            reader.read(stream,
                        [&from_one_read](std::string_view data)
                        {
                            from_one_read.emplace_back(data);
                            return true;
                        });
            std::vector<std::string> from_split_reads;
            sse_reader split_reader;
            for (std::size_t i = 0; i < stream.size();)
            {
                auto const size = *rc::gen::inRange<std::size_t>(1, 7);
                split_reader.read(std::string_view(stream).substr(i, size),
                                  [&from_split_reads](std::string_view data)
                                  {
                                      from_split_reads.emplace_back(data);
                                      return true;
                                  });
                i += size;
            }
            RC_ASSERT((from_one_read == from_split_reads));
        });
}

TEST(edge_fuzz, resume_ids_are_never_accepted_when_changed)
{
    check(
        []
        {
            signing_keys const keys({"0123456789abcdef"});
            auto const id =
                sign_request_id({"dc", "engine", "d:1:2"}, "caller", keys) +
                ":5";
            auto const changed = mutate(id);
            auto const point = resume_point_of(changed, "caller", keys);
            auto const same_id = changed.substr(0, changed.rfind(':')) ==
                                 id.substr(0, id.rfind(':'));
            RC_ASSERT((!point || same_id));
        });
}

} // namespace
