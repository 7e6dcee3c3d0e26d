/// @file
/// @brief Digest and assembly of answers.
#include "buckthornrail/dispatch/answer.hpp"

#include <utility>
#include <xxhash.h>

namespace buckthornrail::dispatch {
namespace {

constexpr std::size_t maxEarlyFrames = 4096;

} // namespace

struct answer_digest::state {
    state() { XXH64_reset(hash.get(), 0); }
    void add(const std::string& bytes)
    {
        const std::uint64_t length = bytes.size();
        XXH64_update(hash.get(), &length, sizeof length);
        XXH64_update(hash.get(), bytes.data(), bytes.size());
    }
    std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> hash { XXH64_createState(), &XXH64_freeState };
};

answer_digest::answer_digest()
    : m_state(std::make_unique<state>())
{
}
answer_digest::answer_digest(answer_digest&&) noexcept = default;
answer_digest& answer_digest::operator=(answer_digest&&) noexcept = default;
answer_digest::~answer_digest() = default;

void answer_digest::add(const answer_frame& frame)
{
    const std::int64_t status = frame.status;
    XXH64_update(m_state->hash.get(), &status, sizeof status);
    for (const auto& header : frame.headers) {
        m_state->add(header.name);
        m_state->add(header.value);
    }
    m_state->add(frame.bytes);
}

std::uint64_t answer_digest::value() const { return XXH64_digest(m_state->hash.get()); }

answer_assembler::answer_assembler(attempt_id attempt)
    : m_attempt(std::move(attempt))
{
}

std::vector<answer_frame> answer_assembler::add(const answer_frame& frame)
{
    const bool isNew = frame.attempt == m_attempt && frame.sequence >= m_next && !m_early.contains(frame.sequence);
    if (!isNew || m_early.size() >= maxEarlyFrames) {
        ++m_dropped;
        return {};
    }
    m_early.emplace(frame.sequence, frame);
    std::vector<answer_frame> ready;
    for (auto at = m_early.find(m_next); at != m_early.end(); at = m_early.find(m_next)) {
        m_digest.add(at->second);
        ready.push_back(std::move(at->second));
        m_early.erase(at);
        ++m_next;
    }
    return ready;
}

void answer_assembler::end(const answer_end& end)
{
    if (end.attempt != m_attempt || m_end) {
        ++m_dropped;
        return;
    }
    m_end = end;
}

assembly_state answer_assembler::state() const
{
    if (!m_end)
        return assembly_state::Open;
    if (m_end->code != result_code::Ok)
        return assembly_state::Broken;
    if (m_next < m_end->frameCount)
        return assembly_state::Open;
    const bool whole = m_next == m_end->frameCount && m_digest.value() == m_end->digest;
    return whole ? assembly_state::Complete : assembly_state::Broken;
}

} // namespace buckthornrail::dispatch
