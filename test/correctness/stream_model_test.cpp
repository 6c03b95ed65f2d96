// Guards against an answer with a gap, an overlap or text of another answer,
// and against an accepted request that never ends, under random sequences of
// engine crashes, daemon restarts, reconnects and lost, duplicated or delayed
// events.
#include "example_deployment.hpp"
#include "fixed_seed_check.hpp"
#include "standin_answer.hpp"
#include "virtual_deployment.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <vector>

namespace
{

using namespace agateledge;

constexpr int answer_tokens = 60;

/// Runs streams against two daemons and compares each complete answer with the
/// text that the stand-in engine generates for its seed.
class stream_model
{
public:
    explicit stream_model(fault_switches switches)
        : example_(make_example_deployment("kerbrat")),
          deployment_(example_.config, {"rennes-a", "brest"}, 7)
    {
        deployment_.on_start = [switches](world &w) { w.faults = switches; };
        for (auto &daemon : deployment_.daemons())
        {
            daemon.state->faults = switches;
        }
        deployment_.store_configuration();
        deployment_.output_tokens = [](engine_call const &)
        { return answer_tokens; };
        deployment_.engine_event_fault = [this](engine_event const &)
        {
            message_fault fault;
            auto const turn = disordered_ ? ++events_ % 8 : 0;
            fault.lost = turn == 3;
            fault.duplicated = turn == 5;
            fault.delay = milliseconds(turn == 7 ? 60 : 0);
            return fault;
        };
        deployment_.on_reply = [this](std::size_t, caller_reply const &reply)
        { check_reply(reply); };
    }

    void act(int choice)
    {
        int const argument = choice / 8;
        auto const daemon = static_cast<std::size_t>(argument % 2);
        switch (choice % 8)
        {
        case 0:
        case 1:
            streams_.push_back({});
            send(streams_.size() - 1, daemon);
            break;
        case 2:
        case 3:
            advance(milliseconds(10 * (argument % 200)));
            break;
        case 4:
            crash(static_cast<std::size_t>(argument));
            break;
        case 5:
            disordered_ = argument % 3 == 0;
            break;
        case 6:
            restart(daemon);
            break;
        default:
            reconnect(static_cast<std::size_t>(argument));
            break;
        }
    }

    /// Stops injecting faults; every answer must then be completed.
    void finish()
    {
        disordered_ = false;
        advance(seconds(120));
        for (auto const &stream : streams_)
        {
            RC_ASSERT(stream.ended);
        }
    }

private:
    struct stream
    {
        std::string text;
        int received = 0;
        request_number request;
        std::size_t daemon = 0;
        std::optional<resume_point> place;
        bool ended = false;
    };

    void send(std::size_t index, std::size_t daemon)
    {
        auto &item = streams_[index];
        item.request = request_number(++last_request_);
        item.daemon = daemon;
        by_request_[item.request] = index;
        request_arrival arrival;
        arrival.request = item.request;
        arrival.model = example_.model;
        arrival.class_name = "full-manual";
        arrival.prompt_tokens = 800;
        arrival.max_output_tokens = answer_tokens;
        arrival.seed = index + 1;
        if (item.place)
        {
            item.place->offset = item.received;
            arrival.resume = std::make_shared<resume_point const>(*item.place);
        }
        deployment_.submit(daemon, arrival);
    }

    void check_reply(caller_reply const &reply)
    {
        auto const index = by_request_.at(reply.request);
        auto &item = streams_[index];
        if (item.request != reply.request)
        {
            return;
        }
        RC_ASSERT(reply.kind != caller_reply_kind::refused);
        if (reply.kind == caller_reply_kind::accepted)
        {
            item.place = resume_point{reply.stream_key, reply.engine, 0};
            return;
        }
        RC_ASSERT(reply.offset == item.received);
        item.received += reply.tokens;
        item.text += reply.text;
        if (reply.kind == caller_reply_kind::finished)
        {
            RC_ASSERT(item.text == standin_answer(index + 1, answer_tokens));
            item.ended = true;
        }
    }

    void crash(std::size_t choice)
    {
        auto const &engines = deployment_.engines();
        auto const place =
            std::next(engines.begin(),
                      static_cast<std::ptrdiff_t>(choice % engines.size()));
        deployment_.crash_engine(place->first);
    }

    void restart(std::size_t daemon)
    {
        deployment_.kill(daemon);
        deployment_.restart(daemon);
        for (std::size_t i = 0; i < streams_.size(); ++i)
        {
            if (!streams_[i].ended && streams_[i].daemon == daemon)
            {
                send(i, 1 - daemon);
            }
        }
    }

    void reconnect(std::size_t choice)
    {
        if (streams_.empty())
        {
            return;
        }
        auto const index = choice % streams_.size();
        if (!streams_[index].ended)
        {
            deployment_.disconnect_caller(streams_[index].daemon,
                                          streams_[index].request);
            send(index, 1 - streams_[index].daemon);
        }
    }

    void advance(duration length)
    {
        deployment_.run_until(deployment_.now() + length);
    }

    example_deployment example_;
    virtual_deployment deployment_;
    std::vector<stream> streams_;
    std::map<request_number, std::size_t> by_request_;
    std::uint64_t last_request_ = 0;
    std::uint64_t events_ = 0;
    bool disordered_ = false;
};

std::string failure_of(fault_switches switches, bool shrink)
{
    return run_with_seed(
        21, 100,
        [switches]
        {
            auto const actions =
                *rc::gen::container<std::vector<int>>(full_range(1 << 14));
            stream_model model(switches);
            for (auto const action : actions)
            {
                model.act(action);
            }
            model.finish();
        },
        shrink);
}

TEST(stream_model, answers_are_whole_under_any_sequence)
{
    EXPECT_EQ(failure_of({}, true), "");
}

TEST(stream_model, sees_a_shifted_resume_offset)
{
    fault_switches switches;
    switches.shift_resume_offset = true;
    EXPECT_NE(failure_of(switches, false), "");
}

} // namespace
