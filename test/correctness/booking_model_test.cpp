// Guards against a booking that runs twice, that runs although it was refused
// as not run, or whose stored outcome differs from the actual one, under any
// sequence of retries, store faults, lost answers and daemon restarts.
#include "example_deployment.hpp"
#include "fixed_seed_check.hpp"
#include "virtual_deployment.hpp"

#include <map>
#include <vector>

namespace
{

using namespace agateledge;

/// Runs bookings of three keys against two daemons and checks them against an
/// oracle that records the effects of each request.
class booking_model
{
public:
    explicit booking_model(fault_switches switches)
        : example_(make_example_deployment("bellhaven")),
          deployment_(example_.config, {"mobile-a", "mobile-b"}, 7)
    {
        deployment_.on_start = [switches](world &w) { w.faults = switches; };
        for (auto &daemon : deployment_.daemons())
        {
            daemon.state->faults = switches;
        }
        deployment_.store_configuration();
        deployment_.table_fault = [this](std::size_t, table_call const &call)
        { return fault_of(call); };
        deployment_.service_reply_fault = [this](service_call const &)
        {
            message_fault fault;
            fault.lost = lose_answers_;
            return fault;
        };
        deployment_.late_write_delay = [] { return milliseconds(120); };
        deployment_.on_service_effect =
            [this](std::size_t, request_number request, service_call const &)
        { record_effect(request); };
        deployment_.on_reply = [this](std::size_t, caller_reply const &reply)
        { check_reply(reply); };
        advance(milliseconds(50));
    }

    void act(int choice)
    {
        int const argument = choice / 8;
        auto const daemon = static_cast<std::size_t>(argument % 2);
        switch (choice % 8)
        {
        case 0:
        case 1:
            book(daemon, argument / 2 % 3);
            break;
        case 2:
            advance(milliseconds(argument % 100));
            break;
        case 3:
            advance(milliseconds(50 * (argument % 60)));
            break;
        case 4:
            store_mode_ = argument % 4;
            break;
        case 5:
            lose_answers_ = argument % 2 == 0;
            break;
        case 6:
            restart(daemon);
            break;
        default:
            toggle_endpoint("desk-" + std::to_string(1 + argument % 3));
            break;
        }
    }

    /// Ends all faults and checks that every open request and claim ends.
    void finish()
    {
        store_mode_ = 0;
        lose_answers_ = false;
        deployment_.closed_endpoints.clear();
        advance(seconds(60));
        for (auto const &[number, item] : requests_)
        {
            RC_ASSERT(item.ended);
        }
        for (auto &daemon : deployment_.daemons())
        {
            RC_ASSERT(daemon.state->claims.size() == 0U);
        }
    }

private:
    struct booking_request
    {
        int key = 0;
        std::size_t daemon = 0;
        bool had_effect = false;
        bool not_run = false;
        bool ended = false;
    };

    std::optional<table_outcome> fault_of(table_call const &call)
    {
        bool const odd = ++operations_ % 2 == 1;
        if (store_mode_ == 1)
        {
            return table_outcome::unavailable;
        }
        bool const lost = store_mode_ == 2 && call.is_write();
        bool const sometimes = store_mode_ == 3 && odd;
        return lost || sometimes ? std::optional(table_outcome::unknown)
                                 : std::nullopt;
    }

    void book(std::size_t daemon, int key)
    {
        auto const number = request_number(++last_request_);
        requests_[number] = {key, daemon};
        request_arrival arrival;
        arrival.request = number;
        arrival.service = example_.booking_service;
        arrival.class_name = "booking";
        arrival.method = "POST";
        arrival.idempotency_key = std::to_string(key);
        arrival.idempotent = false;
        deployment_.submit(daemon, arrival);
    }

    void restart(std::size_t daemon)
    {
        deployment_.kill(daemon);
        for (auto &[number, item] : requests_)
        {
            item.ended |= item.daemon == daemon;
        }
        deployment_.restart(daemon);
    }

    void toggle_endpoint(std::string const &name)
    {
        if (deployment_.closed_endpoints.erase(name) == 0)
        {
            deployment_.closed_endpoints.insert(name);
        }
    }

    void record_effect(request_number request)
    {
        auto &item = requests_.at(request);
        RC_ASSERT(!item.not_run);
        RC_ASSERT(++effects_[item.key] == 1);
        item.had_effect = true;
    }

    void check_reply(caller_reply const &reply)
    {
        auto &item = requests_.at(reply.request);
        RC_ASSERT(!item.ended);
        item.ended = true;
        bool const refused = reply.kind == caller_reply_kind::refused;
        item.not_run = refused && guarantees_not_run(reply.code);
        RC_ASSERT(!(item.not_run && item.had_effect));
        RC_ASSERT(refused || effects_[item.key] == 1);
    }

    void advance(duration length)
    {
        deployment_.run_until(deployment_.now() + length);
    }

    example_deployment example_;
    virtual_deployment deployment_;
    std::map<request_number, booking_request> requests_;
    std::map<int, int> effects_;
    std::uint64_t last_request_ = 0;
    std::uint64_t operations_ = 0;
    int store_mode_ = 0;
    bool lose_answers_ = false;
};

std::string failure_of(fault_switches switches, bool shrink)
{
    return run_with_seed(
        20, 150,
        [switches]
        {
            auto const actions =
                *rc::gen::container<std::vector<int>>(full_range(1 << 14));
            booking_model model(switches);
            for (auto const action : actions)
            {
                model.act(action);
            }
            model.finish();
        },
        shrink);
}

TEST(booking_model, keeps_its_promises_under_any_sequence)
{
    EXPECT_EQ(failure_of({}, true), "");
}

TEST(booking_model, sees_calls_without_a_claim)
{
    fault_switches switches;
    switches.skip_claim = true;
    EXPECT_NE(failure_of(switches, false), "");
}

} // namespace
