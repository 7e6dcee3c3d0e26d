/// @file
/// @brief Spacing of return times by the spare rate, and spreading of them while there is none.
#include "buckthornrail/gateway/return_schedule.hpp"

#include "buckthornrail/gateway/admission_queue.hpp"

#include <algorithm>
#include <limits>

namespace buckthornrail::gateway {
namespace {

/// Without a spare rate, promises are spread evenly over intervals of this length: short against the seconds over which
/// they are spread, and long enough that one gateway has several promises in each during a burst.
constexpr milliseconds balancedInterval { 250 };
/// Random times of which the one in the least promised interval is chosen: more than there are intervals in the upper
/// half of a third of 20 s, the longest time that callers usually wait.
constexpr int candidateCount = 16;

double secondsBetween(steady_time from, steady_time to) { return std::chrono::duration<double>(to - from).count(); }

steady_time::duration seconds(double amount)
{
    return std::chrono::round<steady_time::duration>(std::chrono::duration<double>(amount));
}

/// @return time after `from`; steady_time::max() if it can't be represented
steady_time timeAfter(steady_time from, double amount)
{
    return amount < secondsBetween(from, steady_time::max()) / 2 ? from + seconds(amount) : steady_time::max();
}

double tokensOf(const return_request& request) { return boundedTokens(request.tokens); }

/// @return spacing of promises at one gateway's part of the spare rate, in seconds
double slotSeconds(double tokens, const return_request& request)
{
    return tokens * static_cast<double>(std::max<std::size_t>(request.gateways, 1)) / request.spareTokensPerSecond;
}

} // namespace

return_schedule::return_schedule(const return_schedule_options& options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
    , m_intervalPhase(seconds(
          std::uniform_real_distribution<double>(0, std::chrono::duration<double>(balancedInterval).count())(m_random)))
{
}

steady_time return_schedule::promise(std::string_view service, const return_request& request, steady_time now)
{
    if (request.callerDeadline <= now)
        return steady_time::max();
    const bool hasSpareRate = request.spareTokensPerSecond > 0;
    const double waitSeconds = hasSpareRate ? std::max(0.0, request.tokensAhead) / request.spareTokensPerSecond : 0;
    if (waitSeconds >= secondsBetween(now, request.callerDeadline))
        return steady_time::max();
    auto& rank = rankOf(service, request.priority, now);
    const auto range = rangeOf(request, now);
    steady_time time = range.latest;
    if (!hasSpareRate)
        time = promiseWithoutSpareRate(rank, range);
    else if (const auto expectedAt = std::max(range.earliest, timeAfter(now, waitSeconds)); expectedAt < range.latest)
        time = promiseSlot(rank, request, range, expectedAt);
    record(rank, time, tokensOf(request));
    return time;
}

double return_schedule::promisedTokens(std::string_view service, std::uint32_t priority, steady_time now) const
{
    return promisedAfter(service, priority, now).tokens;
}

std::size_t return_schedule::promisedCount(std::string_view service, std::uint32_t priority, steady_time now) const
{
    return promisedAfter(service, priority, now).count;
}

double return_schedule::dueTokens(std::string_view service, std::uint32_t priority, steady_time now) const
{
    const auto* rank = find(service, priority);
    if (rank == nullptr)
        return 0;
    double tokens = rank->due.tokens;
    const auto endOfDue = rank->byTime.upper_bound(std::max(now, rank->countedAt));
    for (auto entry = rank->byTime.upper_bound(rank->countedAt); entry != endOfDue; ++entry)
        tokens += entry->second.tokens;
    const auto endOfPast = rank->byTime.upper_bound(now - m_options.dueFor);
    if (endOfPast == endOfDue)
        return 0;
    for (auto entry = rank->byTime.begin(); entry != endOfPast; ++entry)
        tokens -= entry->second.tokens;
    return std::max(0.0, tokens); // differences of fractions may round to below 0
}

return_schedule::promise_sum return_schedule::promisedAfter(
    std::string_view service, std::uint32_t priority, steady_time now) const
{
    const auto* rank = find(service, priority);
    if (rank == nullptr)
        return {};
    promise_sum sum = rank->upcoming;
    const auto end = rank->byTime.upper_bound(std::max(now, rank->countedAt));
    if (end == rank->byTime.end())
        return {};
    for (auto entry = rank->byTime.upper_bound(rank->countedAt); entry != end; ++entry)
        subtract(sum, entry->second);
    return sum;
}

void return_schedule::subtract(promise_sum& sum, const promise_sum& part)
{
    sum.count -= part.count;
    // Differences of fractions may round to below 0, or leave a rest.
    sum.tokens = sum.count == 0 ? 0 : std::max(0.0, sum.tokens - part.tokens);
}

const return_schedule::rank_promises* return_schedule::find(std::string_view service, std::uint32_t priority) const
{
    const auto ranks = m_services.find(service);
    if (ranks == m_services.end())
        return nullptr;
    const auto rank = ranks->second.find(priority);
    return rank == ranks->second.end() ? nullptr : &rank->second;
}

return_schedule::rank_promises& return_schedule::rankOf(
    std::string_view service, std::uint32_t priority, steady_time now)
{
    auto ranks = m_services.find(service);
    if (ranks == m_services.end() || !ranks->second.contains(priority)) {
        dropPastRanks(now);
        ranks = m_services.try_emplace(std::string(service)).first;
    }
    auto& rank = ranks->second[priority];
    advance(rank, now);
    return rank;
}

return_schedule::return_range return_schedule::rangeOf(const return_request& request, steady_time now) const
{
    const double limitSeconds = secondsBetween(now, request.callerDeadline) * m_options.maxShareOfTimeLeft;
    const auto latest = timeAfter(now, limitSeconds);
    return { std::min(now + m_options.minDelay, latest), latest };
}

steady_time return_schedule::promiseSlot(
    rank_promises& rank, const return_request& request, const return_range& range, steady_time expectedAt)
{
    // The spacing follows the current rate, so that slots taken at a lower rate don't delay callers once it has risen.
    const auto afterLast = timeAfter(rank.lastSlotAt, slotSeconds(rank.lastSlotTokens, request));
    const auto slotAt = std::max(expectedAt, afterLast);
    if (slotAt >= range.latest)
        return range.latest;
    rank.lastSlotAt = slotAt;
    rank.lastSlotTokens = tokensOf(request);
    const double offset = std::uniform_real_distribution<double>(0, 1)(m_random);
    return std::min(range.latest, timeAfter(slotAt, offset * slotSeconds(rank.lastSlotTokens, request)));
}

steady_time return_schedule::promiseWithoutSpareRate(const rank_promises& rank, const return_range& range)
{
    const double rangeSeconds = secondsBetween(range.earliest, range.latest);
    std::uniform_real_distribution<double> draw(rangeSeconds / 2, rangeSeconds);
    steady_time best = range.latest;
    double lowestDensity = std::numeric_limits<double>::infinity();
    for (int candidate = 0; candidate < candidateCount; ++candidate) {
        const auto time = range.earliest + seconds(draw(m_random));
        const auto found = rank.tokensByInterval.find(intervalOf(time));
        if (found == rank.tokensByInterval.end())
            return time;
        // The last interval of the range is not reachable as a whole yet: tokens in its first part count for more.
        const auto reachable
            = std::clamp<steady_time::duration>(range.latest - found->first, milliseconds(1), balancedInterval);
        const double density = found->second / std::chrono::duration<double>(reachable).count();
        if (density >= lowestDensity)
            continue;
        lowestDensity = density;
        best = time;
    }
    return best;
}

void return_schedule::record(rank_promises& rank, steady_time time, double tokens) const
{
    // Rounded up to a time after countedAt, so that it is among the upcoming ones.
    const auto key = std::chrono::floor<milliseconds>(std::max(time, rank.countedAt)) + milliseconds(1);
    for (auto* sum : { &rank.byTime[key], &rank.upcoming }) {
        sum->tokens += tokens;
        ++sum->count;
    }
    rank.tokensByInterval[intervalOf(time)] += tokens;
}

steady_time return_schedule::intervalOf(steady_time time) const
{
    return time - (time - m_intervalPhase).time_since_epoch() % balancedInterval;
}

void return_schedule::advance(rank_promises& rank, steady_time now) const
{
    auto entry = rank.byTime.upper_bound(rank.countedAt);
    for (; entry != rank.byTime.end() && entry->first <= now; ++entry) {
        subtract(rank.upcoming, entry->second);
        rank.due.tokens += entry->second.tokens;
        rank.due.count += entry->second.count;
    }
    rank.countedAt = std::max(rank.countedAt, now);
    while (!rank.byTime.empty() && rank.byTime.begin()->first + m_options.dueFor <= now) {
        subtract(rank.due, rank.byTime.begin()->second);
        rank.byTime.erase(rank.byTime.begin());
    }
    rank.tokensByInterval.erase(rank.tokensByInterval.begin(), rank.tokensByInterval.lower_bound(intervalOf(now)));
}

void return_schedule::dropPastRanks(steady_time now)
{
    for (auto& [service, ranks] : m_services) {
        for (auto& [priority, rank] : ranks)
            advance(rank, now);
        std::erase_if(ranks, [](const auto& entry) { return entry.second.byTime.empty(); });
    }
    std::erase_if(m_services, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace buckthornrail::gateway
