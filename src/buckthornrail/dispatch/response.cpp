/// @file
/// @brief Digest and reassembly of responses.
#include "buckthornrail/dispatch/response.hpp"

#include <utility>
#include <xxhash.h>

namespace buckthornrail::dispatch {
namespace {

/// Bounds the memory of a response whose next frame is missing.
constexpr std::size_t maxOutOfOrderFrames = 4096;

} // namespace

struct response_digest::state {
    state() { XXH64_reset(hash.get(), 0); }
    void add(const std::string& bytes)
    {
        const std::uint64_t length = bytes.size();
        XXH64_update(hash.get(), &length, sizeof length);
        XXH64_update(hash.get(), bytes.data(), bytes.size());
    }
    std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> hash { XXH64_createState(), &XXH64_freeState };
};

response_digest::response_digest()
    : m_state(std::make_unique<state>())
{
}
response_digest::response_digest(response_digest&&) noexcept = default;
response_digest& response_digest::operator=(response_digest&&) noexcept = default;
response_digest::~response_digest() = default;

void response_digest::add(const response_frame& frame)
{
    const std::int64_t status = frame.status;
    XXH64_update(m_state->hash.get(), &status, sizeof status);
    for (const auto& header : frame.headers) {
        m_state->add(header.name);
        m_state->add(header.value);
    }
    m_state->add(frame.bytes);
}

std::uint64_t response_digest::value() const { return XXH64_digest(m_state->hash.get()); }

response_assembler::response_assembler(attempt_id attempt)
    : m_attempt(std::move(attempt))
{
}

std::vector<response_frame> response_assembler::add(const response_frame& frame)
{
    const bool isNew = frame.attempt == m_attempt && frame.sequence >= m_next && !m_outOfOrder.contains(frame.sequence);
    if (!isNew || m_outOfOrder.size() >= maxOutOfOrderFrames) {
        ++m_dropped;
        return {};
    }
    m_outOfOrder.emplace(frame.sequence, frame);
    std::vector<response_frame> ready;
    for (auto next = m_outOfOrder.find(m_next); next != m_outOfOrder.end(); next = m_outOfOrder.find(m_next)) {
        m_digest.add(next->second);
        ready.push_back(std::move(next->second));
        m_outOfOrder.erase(next);
        ++m_next;
    }
    return ready;
}

void response_assembler::end(const response_end& end)
{
    if (end.attempt != m_attempt || m_end) {
        ++m_dropped;
        return;
    }
    m_end = end;
}

assembly_state response_assembler::state() const
{
    if (!m_end)
        return assembly_state::Open;
    if (m_end->code != result_code::Ok)
        return assembly_state::Failed;
    if (m_next < m_end->frameCount)
        return assembly_state::Open;
    const bool isComplete = m_next == m_end->frameCount && m_digest.value() == m_end->digest;
    return isComplete ? assembly_state::Complete : assembly_state::Failed;
}

} // namespace buckthornrail::dispatch
