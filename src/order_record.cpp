#include "order_record.hpp"

#include "json_text.hpp"
#include "result_code.hpp"

#include <algorithm>
#include <array>

namespace agateledge
{

namespace
{

constexpr std::array<std::string_view, 4> state_names = {"open", "done", "lost",
                                                         "abandoned"};
constexpr std::array<std::string_view, 3> kind_names = {
    "change_role", "load_model", "load_adapter"};

template <class Enum, std::size_t Size>
absl::StatusOr<Enum> parse(std::array<std::string_view, Size> const &names,
                           std::string const &name)
{
    auto const found = std::ranges::find(names, name);
    if (found == names.end())
    {
        return make_status(result_code::invalid_request,
                           "unknown name \"" + name + "\" in an order row");
    }
    return static_cast<Enum>(found - names.begin());
}

absl::StatusOr<engine_order> order_from(Json::Value const &in)
{
    auto const kind = parse<order_kind>(kind_names, in["kind"].asString());
    if (!kind.ok())
    {
        return kind.status();
    }
    engine_order out;
    out.id = in["id"].asString();
    out.engine = in["engine"].asString();
    out.kind = *kind;
    out.role =
        parse_engine_role(in["role"].asString()).value_or(engine_role::mixed);
    out.name = in["name"].asString();
    out.version = in["version"].asString();
    out.fencing = fencing_number(in["fencing"].asUInt64());
    out.expected_generation = in["expected_generation"].asUInt64();
    out.time_to_live = duration(in["time_to_live_us"].asInt64());
    return out;
}

absl::StatusOr<order_record> record_from(Json::Value const &in)
{
    auto const order = order_from(in["order"]);
    auto const state =
        parse<order_record_state>(state_names, in["state"].asString());
    if (!order.ok())
    {
        return order.status();
    }
    if (!state.ok())
    {
        return state.status();
    }
    return order_record{*order, *state, in["holder"].asString(),
                        in["attempt"].asString(), in["tries"].asInt()};
}

} // namespace

std::string_view name_of(order_record_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

std::string order_record_to_text(order_record const &record)
{
    auto const &order = record.order;
    Json::Value out;
    out["order"]["id"] = order.id;
    out["order"]["engine"] = order.engine;
    out["order"]["kind"] =
        std::string(kind_names.at(static_cast<std::size_t>(order.kind)));
    out["order"]["role"] = std::string(name_of(order.role));
    out["order"]["name"] = order.name;
    out["order"]["version"] = order.version;
    out["order"]["fencing"] = Json::UInt64(order.fencing.value());
    out["order"]["expected_generation"] =
        Json::UInt64(order.expected_generation);
    out["order"]["time_to_live_us"] = Json::Int64(order.time_to_live.count());
    out["state"] = std::string(name_of(record.state));
    out["holder"] = record.holder;
    out["attempt"] = record.attempt;
    out["tries"] = record.tries;
    return json_to_text(out);
}

absl::StatusOr<order_record> order_record_from_text(std::string const &text)
{
    auto const in = json_from_text(text);
    if (!in.ok())
    {
        return in.status();
    }
    try
    {
        return record_from(*in);
    }
    catch (Json::Exception const &error)
    {
        return make_status(result_code::invalid_request,
                           std::string("order row: ") + error.what());
    }
}

} // namespace agateledge
