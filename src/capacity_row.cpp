#include "capacity_row.hpp"

#include "json_text.hpp"

namespace agateledge
{

std::string capacity_row_to_text(capacity_row const &row)
{
    Json::Value out;
    out["orders"] = Json::arrayValue;
    for (auto const &order : row.orders)
    {
        Json::Value item;
        item["service"] = order.service;
        item["data_centre"] = order.data_centre;
        item["reclaimable"] = order.reclaimable;
        item["instances"] = order.instances;
        out["orders"].append(item);
    }
    out["held"] = Json::objectValue;
    for (auto const &[service, engines] : row.held)
    {
        out["held"][service] = engines;
    }
    return json_to_text(out);
}

std::optional<capacity_row> capacity_row_from_text(std::string const &text)
{
    auto const in = json_from_text(text);
    if (!in.ok() || !in->isObject())
    {
        return std::nullopt;
    }
    try
    {
        capacity_row row;
        for (auto const &item : (*in)["orders"])
        {
            row.orders.push_back(
                {item["service"].asString(), item["data_centre"].asString(),
                 item["instances"].asInt(), item["reclaimable"].asBool()});
        }
        for (auto const &service : (*in)["held"].getMemberNames())
        {
            row.held[service] = (*in)["held"][service].asInt();
        }
        return row;
    }
    catch (Json::Exception const &)
    {
        return std::nullopt;
    }
}

} // namespace agateledge
