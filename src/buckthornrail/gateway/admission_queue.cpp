/// @file
/// @brief Order, bounds and sums of the requests that wait for free capacity.
#include "buckthornrail/gateway/admission_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthornrail::gateway {

bool admission_queue::admission_order::operator()(const queued_request* left, const queued_request* right) const
{
    const auto key = [](const queued_request& request) {
        return std::tuple(request.priority, !request.isReturning, request.deadline, request.enqueuedAt, request.call);
    };
    return key(*left) < key(*right);
}

admission_queue::admission_queue(const admission_queue_options& options)
    : m_options(options)
{
}

bool admission_queue::add(queued_request request)
{
    remove(request.call);
    request.tokens = boundedTokens(request.tokens);
    if (!canMakeRoomFor(request))
        return false;
    while (!fits(size(), m_bytes, request)) {
        const std::uint64_t last = (*m_ordered.rbegin())->call;
        erase(last);
        m_displaced.push_back(last);
    }
    insert(std::move(request));
    return true;
}

std::vector<std::uint64_t> admission_queue::takeDisplaced() { return std::exchange(m_displaced, {}); }

void admission_queue::remove(std::uint64_t call)
{
    erase(call);
    std::erase(m_displaced, call);
}

std::vector<std::uint64_t> admission_queue::takeExpired(steady_time now)
{
    std::vector<std::uint64_t> expired;
    while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= now) {
        expired.push_back(m_byDeadline.begin()->second);
        erase(expired.back());
    }
    return expired;
}

std::optional<queued_request> admission_queue::next(std::string_view service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    return **found->second.requests.begin();
}

std::optional<queued_request> admission_queue::nextAfter(std::string_view service, const queued_request& previous) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    const auto after = found->second.requests.upper_bound(&previous);
    if (after == found->second.requests.end())
        return std::nullopt;
    return **after;
}

std::optional<steady_time> admission_queue::nextDeadline() const
{
    if (m_byDeadline.empty())
        return std::nullopt;
    return m_byDeadline.begin()->first;
}

double admission_queue::waitingTokens(std::string_view service, std::uint32_t priority) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    const auto sum = found->second.waiting.find(priority);
    return sum == found->second.waiting.end() ? 0 : sum->second.tokens;
}

std::vector<queued_request> admission_queue::requests() const
{
    std::vector<queued_request> all;
    all.reserve(size());
    for (const auto& [name, service] : m_services) {
        for (const auto* request : service.requests)
            all.push_back(*request);
    }
    return all;
}

bool admission_queue::fits(std::size_t requests, std::size_t bytes, const queued_request& request) const
{
    return requests < m_options.maxRequests && request.bytes <= m_options.maxBytes
        && bytes <= m_options.maxBytes - request.bytes;
}

bool admission_queue::canMakeRoomFor(const queued_request& request) const
{
    size_sum kept;
    for (const auto& [priority, sum] : m_sizes) {
        if (priority > request.priority)
            break;
        kept.requests += sum.requests;
        kept.bytes += sum.bytes;
    }
    return fits(kept.requests, kept.bytes, request);
}

void admission_queue::insert(queued_request request)
{
    const std::uint64_t call = request.call;
    const auto& queued = m_byCall.emplace(call, std::move(request)).first->second;
    m_ordered.insert(&queued);
    m_byDeadline.emplace(queued.deadline, call);
    auto& service = m_services[queued.service];
    service.requests.insert(&queued);
    auto& waiting = service.waiting[queued.priority];
    waiting.tokens += queued.tokens;
    ++waiting.requests;
    auto& sizes = m_sizes[queued.priority];
    sizes.bytes += queued.bytes;
    ++sizes.requests;
    m_bytes += queued.bytes;
}

void admission_queue::erase(std::uint64_t call)
{
    const auto found = m_byCall.find(call);
    if (found == m_byCall.end())
        return;
    const queued_request& request = found->second;
    m_bytes -= request.bytes;
    const auto sizes = m_sizes.find(request.priority);
    sizes->second.bytes -= request.bytes;
    if (--sizes->second.requests == 0)
        m_sizes.erase(sizes);
    const auto service = m_services.find(request.service);
    const auto waiting = service->second.waiting.find(request.priority);
    // Differences of fractions may round to below 0.
    waiting->second.tokens = std::max(0.0, waiting->second.tokens - request.tokens);
    if (--waiting->second.requests == 0)
        service->second.waiting.erase(waiting);
    service->second.requests.erase(&request);
    if (service->second.requests.empty())
        m_services.erase(service);
    m_byDeadline.erase({ request.deadline, call });
    m_ordered.erase(&request);
    m_byCall.erase(found);
}

} // namespace buckthornrail::gateway
