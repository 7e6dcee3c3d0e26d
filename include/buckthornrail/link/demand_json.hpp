/// @file
/// @brief JSON/CBOR conversion of the demand by priority.
#pragma once

#include "buckthornrail/registry/demand_table.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::registry {

// As arrays: the reports are part of each heartbeat and update, and field names would be most of their bytes.
inline void to_json(nlohmann::json& out, const rank_demand& value)
{
    out = nlohmann::json::array({ value.priority, value.offeredTokensPerSecond, value.runningTokens,
        value.waitingTokens, value.promisedTokens, value.dueTokens });
}
inline void from_json(const nlohmann::json& in, rank_demand& value)
{
    in.at(0).get_to(value.priority);
    in.at(1).get_to(value.offeredTokensPerSecond);
    in.at(2).get_to(value.runningTokens);
    in.at(3).get_to(value.waitingTokens);
    in.at(4).get_to(value.promisedTokens);
    in.at(5).get_to(value.dueTokens);
}

inline void to_json(nlohmann::json& out, const service_demand& value)
{
    out = nlohmann::json::array({ value.service, value.releasedTokensPerSecond, value.ranks });
}
inline void from_json(const nlohmann::json& in, service_demand& value)
{
    in.at(0).get_to(value.service);
    in.at(1).get_to(value.releasedTokensPerSecond);
    in.at(2).get_to(value.ranks);
}

} // namespace buckthornrail::registry

namespace buckthornrail::link {

/// @brief Writes a demand report, unless it is empty: messages don't grow where no service is ranked.
inline void writeDemand(nlohmann::json& out, const char* name, const registry::demand_report& demand)
{
    if (!demand.empty())
        out[name] = demand;
}

/// @brief Reads a demand report, in its order and up to its limits, whatever the other process sent. It is empty if the
/// field is missing, as in messages of earlier versions.
inline void readDemand(const nlohmann::json& in, const char* name, registry::demand_report& demand)
{
    demand.clear();
    if (const auto found = in.find(name); found != in.end())
        registry::add(demand, found->get<registry::demand_report>());
}

} // namespace buckthornrail::link
