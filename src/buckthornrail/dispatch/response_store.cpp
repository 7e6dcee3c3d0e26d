/// @file
/// @brief Storage and eviction of responses.
#include "buckthornrail/dispatch/response_store.hpp"

namespace buckthornrail::dispatch {

void response_store::begin(const attempt_id& attempt) { m_responses.try_emplace(attempt); }

void response_store::add(const response_frame& frame)
{
    const auto found = m_responses.find(frame.attempt);
    if (found == m_responses.end() || found->second.evicted)
        return;
    found->second.frames.push_back(frame);
    found->second.bytes += frame.bytes.size();
    m_bytes += frame.bytes.size();
    evict();
}

void response_store::end(const response_end& end)
{
    const auto found = m_responses.find(end.attempt);
    if (found == m_responses.end() || found->second.end)
        return;
    found->second.end = end;
    m_ended.push_back(end.attempt);
    evict();
}

void response_store::drop(const attempt_id& attempt)
{
    const auto found = m_responses.find(attempt);
    if (found == m_responses.end())
        return;
    m_bytes -= found->second.bytes;
    std::erase(m_ended, attempt);
    m_responses.erase(found);
}

const stored_response* response_store::find(const attempt_id& attempt) const
{
    const auto found = m_responses.find(attempt);
    return found == m_responses.end() ? nullptr : &found->second;
}

void response_store::evict()
{
    while (m_bytes > m_maxBytes && !m_ended.empty()) {
        auto& response = m_responses[m_ended.front()];
        m_ended.pop_front();
        m_bytes -= response.bytes;
        response.bytes = 0;
        response.frames.clear();
        response.evicted = true;
    }
}

} // namespace buckthornrail::dispatch
