#include "lease_row.hpp"

#include "json_text.hpp"

namespace agateledge
{

std::string lease_row_to_text(lease_row const &row)
{
    Json::Value out;
    out["holder"] = row.holder;
    out["incarnation"] = Json::UInt64(row.incarnation.value());
    out["fencing"] = Json::UInt64(row.fencing.value());
    out["time_to_live_us"] = Json::Int64(row.time_to_live.count());
    out["attempt"] = row.attempt;
    return json_to_text(out);
}

lease_row lease_row_from_text(std::string const &text)
{
    lease_row row;
    auto const in = json_from_text(text);
    if (!in.ok() || !in->isObject())
    {
        return row;
    }
    try
    {
        row.holder = (*in)["holder"].asString();
        row.incarnation = incarnation_number((*in)["incarnation"].asUInt64());
        row.fencing = fencing_number((*in)["fencing"].asUInt64());
        row.time_to_live = duration((*in)["time_to_live_us"].asInt64());
        row.attempt = (*in)["attempt"].asString();
        return row;
    }
    catch (Json::Exception const &)
    {
        return {};
    }
}

} // namespace agateledge
