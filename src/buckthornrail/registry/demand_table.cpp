/// @file
/// @brief Totals of the demand by priority.
#include "buckthornrail/registry/demand_table.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace buckthornrail::registry {
namespace {

/// Age at which a report no longer counts. With a heartbeat period of up to 300 ms the loss of two reports is
/// tolerated. With the default of 1000 ms a report may expire before the next heartbeat while no requests are queued.
constexpr milliseconds reportLifetime { 1000 };

constexpr std::int64_t maxValue = std::numeric_limits<std::uint32_t>::max();

std::uint32_t limited(std::int64_t value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, maxValue));
}

void addTo(std::uint32_t& sum, std::uint32_t more) { sum = limited(std::int64_t { sum } + more); }

void add(rank_demand& sum, const rank_demand& more)
{
    addTo(sum.offeredTokensPerSecond, more.offeredTokensPerSecond);
    addTo(sum.runningTokens, more.runningTokens);
    addTo(sum.waitingTokens, more.waitingTokens);
    addTo(sum.promisedTokens, more.promisedTokens);
    addTo(sum.dueTokens, more.dueTokens);
}

/// @return the row with a key, inserted in order if it is missing; nullptr if it is beyond the limit
/// @param rows in ascending order of the key
template <typename Row, typename Key>
Row* findOrInsert(std::vector<Row>& rows, Key Row::*keyOf, const Key& key, std::size_t limit)
{
    auto position = std::lower_bound(
        rows.begin(), rows.end(), key, [keyOf](const Row& row, const Key& other) { return row.*keyOf < other; });
    if (position != rows.end() && (*position).*keyOf == key)
        return &*position;
    if (static_cast<std::size_t>(position - rows.begin()) >= limit)
        return nullptr;
    position = rows.emplace(position);
    (*position).*keyOf = key;
    if (rows.size() > limit)
        rows.pop_back();
    return &*position;
}

} // namespace

void add(demand_report& sum, const demand_report& more)
{
    for (const auto& service : more) {
        auto* total = findOrInsert(sum, &service_demand::service, service.service, maxServicesInDemand);
        if (total == nullptr)
            continue;
        addTo(total->releasedTokensPerSecond, service.releasedTokensPerSecond);
        for (const auto& rank : service.ranks) {
            auto* row = findOrInsert(total->ranks, &rank_demand::priority, rank.priority, maxPrioritiesInDemand);
            if (row != nullptr)
                add(*row, rank);
        }
    }
}

void demand_table::accumulate(totals_by_service& totals, const demand_report& report, std::int64_t factor)
{
    for (const auto& service : report) {
        auto& total = totals[service.service];
        total.reports += factor;
        total.releasedTokensPerSecond += factor * service.releasedTokensPerSecond;
        for (const auto& rank : service.ranks) {
            auto& row = total.ranks[rank.priority];
            row.reports += factor;
            row.offeredTokensPerSecond += factor * rank.offeredTokensPerSecond;
            row.runningTokens += factor * rank.runningTokens;
            row.waitingTokens += factor * rank.waitingTokens;
            row.promisedTokens += factor * rank.promisedTokens;
            row.dueTokens += factor * rank.dueTokens;
            if (row.reports == 0)
                total.ranks.erase(rank.priority);
        }
        if (total.reports == 0)
            totals.erase(service.service);
    }
}

demand_report demand_table::reportOf(const totals_by_service& totals)
{
    demand_report report;
    for (const auto& [name, total] : totals) {
        if (report.size() == maxServicesInDemand)
            break;
        auto& service = report.emplace_back();
        service.service = name;
        service.releasedTokensPerSecond = limited(total.releasedTokensPerSecond);
        for (const auto& [priority, row] : total.ranks) {
            if (service.ranks.size() == maxPrioritiesInDemand)
                break;
            service.ranks.push_back({ priority, limited(row.offeredTokensPerSecond), limited(row.runningTokens),
                limited(row.waitingTokens), limited(row.promisedTokens), limited(row.dueTokens) });
        }
    }
    return report;
}

void demand_table::update(std::uint64_t session, const demand_report& report, steady_time now)
{
    remove(session);
    demand_report kept;
    add(kept, report);
    if (kept.empty())
        return;
    accumulate(m_total, kept, 1);
    m_sessions[session] = { std::move(kept), now + reportLifetime };
}

void demand_table::remove(std::uint64_t session)
{
    if (const auto known = m_sessions.extract(session))
        accumulate(m_total, known.mapped().report, -1);
}

demand_report demand_table::othersOf(std::uint64_t session, steady_time now) const
{
    auto others = m_total;
    for (const auto& [number, entry] : m_sessions) {
        if (number == session || now > entry.expiresAt)
            accumulate(others, entry.report, -1);
    }
    return reportOf(others);
}

} // namespace buckthornrail::registry
