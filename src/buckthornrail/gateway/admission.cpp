/// @file
/// @brief Demand by priority and the capacity reserved for higher priorities.
#include "buckthornrail/gateway/admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace buckthornrail::gateway {
namespace {

/// Bounds of the mean residence time. Shorter times are measured while a service starts, longer ones when its streams
/// have stalled; both would reserve for requests that don't exist.
constexpr double minResidenceSeconds = 0.5;
constexpr double maxResidenceSeconds = 10;
/// Number of standard deviations by which the need must exceed what is held. Running tokens of randomly arriving
/// requests fluctuate without any shortage, and that fluctuation must not keep capacity free.
constexpr double noiseMargin = 0.25;
/// Weight of a request in the mean sizes of its priority: about the last 20 requests of this gateway count.
constexpr double sizeWeight = 0.05;

std::uint32_t toCount(double tokens)
{
    constexpr double max = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(tokens), 0.0, max));
}

} // namespace

admission::service_counts::service_counts(const admission_options& options)
    : ranks(registry::maxPrioritiesInDemand, rank_counts(options))
    , released(options.averageSeconds)
{
}

bool admission::service_counts::isUnused() const
{
    return !isRanked && std::all_of(ranks.begin(), ranks.end(), [](const rank_counts& rank) {
        return rank.attempts == 0 && rank.waiting == 0 && rank.promised == 0 && rank.due == 0;
    });
}

std::size_t admission::rankOf(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, registry::maxPrioritiesInDemand - 1);
}

const admission::service_counts* admission::find(std::string_view service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

admission::service_counts& admission::findOrAdd(std::string_view service)
{
    const auto found = m_services.find(service);
    if (found != m_services.end())
        return found->second;
    return m_services.emplace(std::string(service), service_counts(m_options)).first->second;
}

void admission::setRankedServices(
    const std::map<std::string, std::vector<std::uint32_t>>& prioritiesByService, steady_time /*now*/)
{
    for (auto& [name, service] : m_services) {
        service.isRanked = false;
        service.priorities.clear();
        // Set again by their owners for the priorities that remain.
        for (auto& rank : service.ranks)
            rank.waiting = rank.promised = rank.due = 0;
    }
    for (const auto& [name, priorities] : prioritiesByService) {
        auto& service = findOrAdd(name);
        service.isRanked = true;
        service.priorities = priorities;
        for (auto& priority : service.priorities)
            priority = static_cast<std::uint32_t>(rankOf(priority));
        std::sort(service.priorities.begin(), service.priorities.end());
        const auto end = std::unique(service.priorities.begin(), service.priorities.end());
        service.priorities.erase(end, service.priorities.end());
    }
    std::erase_if(m_services, [](const auto& entry) { return entry.second.isUnused(); });
}

bool admission::isRanked(std::string_view service) const
{
    const auto* found = find(service);
    return found != nullptr && found->isRanked;
}

void admission::setOthers(const registry::demand_report& others, steady_time now)
{
    m_othersAt = now;
    m_othersExpireAt = now + m_options.othersTtl;
    for (auto& [name, service] : m_services) {
        service.others.fill({});
        service.othersReleased = 0;
    }
    for (const auto& demand : others) {
        const auto found = m_services.find(demand.service);
        if (found == m_services.end())
            continue;
        found->second.othersReleased = demand.releasedTokensPerSecond;
        for (const auto& rank : demand.ranks) {
            auto& sums = found->second.others.at(rankOf(rank.priority));
            sums.offered += rank.offeredTokensPerSecond;
            sums.running += rank.runningTokens;
            sums.waiting += rank.waitingTokens;
            sums.promised += rank.promisedTokens;
            sums.due += rank.dueTokens;
        }
    }
    for (auto& [name, service] : m_services)
        updateResidence(service, now);
}

std::optional<milliseconds> admission::othersAge(steady_time now) const
{
    return m_othersAt ? std::optional(between(*m_othersAt, now)) : std::nullopt;
}

void admission::setCapacity(std::string_view service, double tokens)
{
    findOrAdd(service).capacity = std::max(0.0, tokens);
}

void admission::countArrival(const admission_request& request, steady_time now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end() || !found->second.isRanked)
        return;
    auto& rank = found->second.ranks[rankOf(request.priority)];
    if (!request.isReturning)
        rank.offered.add(request.tokens, now);
    const double weight = rank.meanTokens > 0 ? sizeWeight : 1;
    rank.meanTokens += weight * (request.tokens - rank.meanTokens);
    rank.meanSquare += weight * (request.tokens * request.tokens - rank.meanSquare);
    rank.requested.add(request.tokens, now);
    const double maxGuarantee = std::max(request.tokens, m_options.guaranteedShare * rank.requested.sum(now));
    rank.guaranteeCredit = std::min(maxGuarantee, rank.guaranteeCredit + m_options.guaranteedShare * request.tokens);
    updateResidence(found->second, now);
}

void admission::countAdmission(const admission_request& request, steady_time now)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end() || !found->second.isRanked)
        return;
    auto& rank = found->second.ranks[rankOf(request.priority)];
    rank.admitted.add(request.tokens, now);
    // A large request uses up no more than one of the usual size: the small ones after it are guaranteed their share.
    if (rank.guaranteeCredit > 0)
        rank.guaranteeCredit = std::max(rank.guaranteeCredit - request.tokens, -rank.meanTokens);
}

void admission::attemptStarted(std::string_view service, std::uint32_t priority, double tokens, steady_time /*now*/)
{
    auto& rank = findOrAdd(service).ranks[rankOf(priority)];
    rank.running += tokens;
    ++rank.attempts;
}

void admission::attemptEnded(std::string_view service, std::uint32_t priority, double tokens, steady_time now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return;
    auto& rank = found->second.ranks[rankOf(priority)];
    if (rank.attempts == 0)
        return;
    --rank.attempts;
    rank.running = rank.attempts == 0 ? 0 : std::max(0.0, rank.running - tokens);
    found->second.released.add(tokens, now);
}

void admission::setWaiting(std::string_view service, std::uint32_t priority, double tokens)
{
    findOrAdd(service).ranks[rankOf(priority)].waiting = std::max(0.0, tokens);
}

void admission::setPromised(std::string_view service, std::uint32_t priority, double tokens, double dueTokens)
{
    auto& rank = findOrAdd(service).ranks[rankOf(priority)];
    rank.promised = std::max(0.0, tokens);
    rank.due = std::max(0.0, dueTokens);
}

admission::rank_sums admission::total(const service_counts& service, std::size_t rank, steady_time now) const
{
    const auto& own = service.ranks[rank];
    rank_sums sums { own.offered.perSecond(now), own.running, own.waiting, own.promised, own.due };
    if (!areOthersCurrent(now))
        return sums;
    const auto& others = service.others.at(rank);
    sums.offered += others.offered;
    sums.running += others.running;
    sums.waiting += others.waiting;
    sums.promised += others.promised;
    sums.due += others.due;
    return sums;
}

double admission::totalReleased(const service_counts& service, steady_time now) const
{
    return service.released.perSecond(now) + (areOthersCurrent(now) ? service.othersReleased : 0);
}

void admission::updateResidence(service_counts& service, steady_time now) const
{
    std::array<rank_sums, registry::maxPrioritiesInDemand> sums {};
    bool isShort = false;
    for (const auto priority : service.priorities) {
        sums.at(priority) = total(service, priority, now);
        const auto& rank = sums.at(priority);
        isShort = isShort || rank.waiting + rank.promised + rank.due > 0;
    }
    // While requests are refused, fewer tokens run than were offered.
    for (const auto priority : service.priorities) {
        auto& residence = service.ranks[priority].residence;
        if (isShort)
            residence.skip(now);
        else
            residence.update(sums.at(priority).running, sums.at(priority).offered, now);
    }
}

double admission::residenceSeconds(const service_counts& service, std::size_t rank, steady_time now) const
{
    double mean = service.ranks[rank].residence.ratio(0);
    if (mean == 0) {
        double running = 0;
        for (const auto priority : service.priorities)
            running += total(service, priority, now).running;
        const double released = totalReleased(service, now);
        mean = released > 0 ? running / released : 0;
    }
    return std::clamp(mean, minResidenceSeconds, maxResidenceSeconds);
}

double admission::missingTokens(
    const service_counts& service, std::size_t rank, double defaultTokens, steady_time now) const
{
    const auto sums = total(service, rank, now);
    const auto& own = service.ranks[rank];
    const double requestTokens = own.meanTokens > 0 ? own.meanTokens : defaultTokens;
    const double fluctuatingTokens = own.meanTokens > 0 ? own.meanSquare / own.meanTokens : defaultTokens;
    const double needed = sums.offered * residenceSeconds(service, rank, now);
    const double missing = needed - sums.running - noiseMargin * std::sqrt(needed * fluctuatingTokens);
    // A waiting request shows a shortage, also where the mean residence time is too short for its priority.
    return (missing < requestTokens ? 0 : missing) + sums.waiting;
}

double admission::demandedShare(const service_counts& service, const admission_request& request, steady_time now) const
{
    if (service.capacity <= 0)
        return 0;
    double tokens = 0;
    const std::size_t rank = rankOf(request.priority);
    for (const auto priority : service.priorities) {
        if (priority < rank)
            tokens += missingTokens(service, priority, request.tokens, now);
    }
    if (!request.isReturning)
        tokens += std::min(total(service, rank, now).due, m_options.maxReturningShare * service.capacity);
    return std::min(tokens / service.capacity, m_options.maxReservedShare);
}

bool admission::isBelowGuarantee(const rank_counts& rank, steady_time now) const
{
    // Where a gateway has one request of a priority in 2 s, none has been admitted before it, whatever the others
    // admit. The guarantee is therefore counted over more than 2 s as well.
    return rank.guaranteeCredit > 0 && rank.admitted.sum(now) < m_options.guaranteedShare * rank.requested.sum(now);
}

double admission::reservedShare(const admission_request& request, steady_time now) const
{
    const auto* service = find(request.service);
    if (service == nullptr || !service->isRanked)
        return 0;
    return isGuaranteed(request, now) ? 0 : demandedShare(*service, request, now);
}

bool admission::isGuaranteed(const admission_request& request, steady_time now) const
{
    const auto* service = find(request.service);
    return service != nullptr && service->isRanked && isBelowGuarantee(service->ranks[rankOf(request.priority)], now);
}

double admission::expectedReleaseRate(std::string_view service, steady_time now) const
{
    const auto* found = find(service);
    if (found == nullptr)
        return 0;
    double expected = 0;
    for (const auto priority : found->priorities)
        expected += total(*found, priority, now).running / residenceSeconds(*found, priority, now);
    return std::max(expected, totalReleased(*found, now));
}

double admission::releaseRate(std::string_view service, steady_time now) const
{
    const auto* found = find(service);
    return found == nullptr ? 0 : totalReleased(*found, now);
}

double admission::spareRate(std::string_view service, std::uint32_t priority, steady_time now) const
{
    const auto* found = find(service);
    if (found == nullptr)
        return 0;
    double spare = totalReleased(*found, now);
    for (std::size_t rank = 0; rank <= rankOf(priority); ++rank)
        spare -= total(*found, rank, now).offered;
    return spare;
}

double admission::waitingAhead(const admission_request& request, steady_time now) const
{
    const auto* service = find(request.service);
    if (service == nullptr)
        return 0;
    double tokens = 0;
    for (std::size_t rank = 0; rank < rankOf(request.priority); ++rank) {
        const auto sums = total(*service, rank, now);
        tokens += sums.waiting + sums.due;
    }
    // The due tokens of its priority include those of a returning request itself.
    const auto own = total(*service, rankOf(request.priority), now);
    return tokens + own.waiting + (request.isReturning ? 0 : own.due);
}

double admission::promisedAhead(const admission_request& request, steady_time now) const
{
    const auto* service = find(request.service);
    if (service == nullptr)
        return 0;
    double tokens = 0;
    for (std::size_t rank = 0; rank <= rankOf(request.priority); ++rank) {
        const auto sums = total(*service, rank, now);
        tokens += sums.waiting + sums.due + sums.promised;
    }
    return tokens;
}

registry::service_demand admission::reportOf(const std::string& name, const service_counts& service, steady_time now)
{
    registry::service_demand demand { name, toCount(service.released.perSecond(now)), {} };
    for (std::size_t rank = 0; rank < registry::maxPrioritiesInDemand; ++rank) {
        const auto& counts = service.ranks[rank];
        const registry::rank_demand entry { static_cast<std::uint32_t>(rank), toCount(counts.offered.perSecond(now)),
            toCount(counts.running), toCount(counts.waiting), toCount(counts.promised), toCount(counts.due) };
        if (entry != registry::rank_demand { entry.priority })
            demand.ranks.push_back(entry);
    }
    return demand;
}

registry::demand_report admission::report(steady_time now) const
{
    registry::demand_report report;
    for (const auto& [name, service] : m_services) {
        if (!service.isRanked || report.size() == registry::maxServicesInDemand)
            continue;
        auto demand = reportOf(name, service, now);
        if (demand.releasedTokensPerSecond > 0 || !demand.ranks.empty())
            report.push_back(std::move(demand));
    }
    return report;
}

std::vector<admission_state> admission::states(steady_time now) const
{
    std::vector<admission_state> states;
    for (const auto& [name, service] : m_services) {
        for (const auto priority : service.priorities) {
            const auto& rank = service.ranks[priority];
            const auto sums = total(service, priority, now);
            const double reserved = demandedShare(service, { name, priority, rank.meanTokens, false }, now);
            states.push_back({ name, priority, service.capacity, sums.offered, sums.running, sums.waiting,
                sums.promised, sums.due, reserved, rank.requested.sum(now), rank.admitted.sum(now) });
        }
    }
    return states;
}

} // namespace buckthornrail::gateway
