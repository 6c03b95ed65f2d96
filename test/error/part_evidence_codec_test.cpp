// Guards against reports on prompt parts that are damaged on the way, and
// against one kind of report that is taken for another on the shared socket.
#include "part_evidence_codec.hpp"
#include "part_evidence_report.hpp"
#include "peer_load_codec.hpp"
#include "peer_load_report.hpp"
#include "random_source.hpp"

#include <gtest/gtest.h>

#include <string>

namespace
{

using namespace agateledge;

part_evidence_report sample_report()
{
    part_evidence_report report;
    report.sender = "edge-1";
    report.data_centre = "zone-a";
    report.losses = {{{7, 8, 9, 3}, 100}, {{~0ULL, 1, 2}, 0}};
    report.successes = {{7, 2000}};
    return report;
}

TEST(part_evidence_codec, a_report_arrives_as_it_was_sent)
{
    EXPECT_EQ(decode_part_evidence(encode_part_evidence(sample_report())),
              sample_report());
    part_evidence_report const empty;
    EXPECT_EQ(decode_part_evidence(encode_part_evidence(empty)), empty);
}

TEST(part_evidence_codec, load_reports_and_part_reports_are_not_confused)
{
    EXPECT_FALSE(decode_peer_load(encode_part_evidence(sample_report())));
    peer_load_report load;
    load.sender = "edge-1";
    load.data_centre = "zone-a";
    load.loads = {{1, 2, 3}};
    EXPECT_FALSE(decode_part_evidence(encode_peer_load(load)));
    EXPECT_FALSE(decode_part_evidence(encode_peer_load({})));
    EXPECT_FALSE(decode_peer_load(encode_part_evidence({})));
}

TEST(part_evidence_codec, damaged_datagrams_do_not_crash_the_reader)
{
    auto const bytes = encode_part_evidence(sample_report());
    random_source random(1);
    for (int i = 0; i < 20000; ++i)
    {
        auto damaged = bytes.substr(0, random.below(bytes.size() + 1));
        for (int flips = 0; flips < 3 && !damaged.empty(); ++flips)
        {
            damaged[random.below(damaged.size())] =
                static_cast<char>(random.below(256));
        }
        auto const report = decode_part_evidence(damaged);
        EXPECT_TRUE(!report || report->losses.size() <= bytes.size());
    }
    EXPECT_FALSE(decode_part_evidence(""));
    EXPECT_FALSE(decode_part_evidence(std::string(100000, '\x65')));
}

} // namespace
