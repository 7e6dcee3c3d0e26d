/// @file
/// @brief Keeping and evicting answers.
#include "buckthornrail/dispatch/answer_store.hpp"

namespace buckthornrail::dispatch {

void answer_store::begin(const attempt_id& attempt) { m_answers.try_emplace(attempt); }

void answer_store::add(const answer_frame& frame)
{
    const auto found = m_answers.find(frame.attempt);
    if (found == m_answers.end() || found->second.evicted)
        return;
    found->second.frames.push_back(frame);
    found->second.bytes += frame.bytes.size();
    m_bytes += frame.bytes.size();
    evict();
}

void answer_store::end(const answer_end& end)
{
    const auto found = m_answers.find(end.attempt);
    if (found == m_answers.end() || found->second.end)
        return;
    found->second.end = end;
    m_ended.push_back(end.attempt);
    evict();
}

void answer_store::drop(const attempt_id& attempt)
{
    const auto found = m_answers.find(attempt);
    if (found == m_answers.end())
        return;
    m_bytes -= found->second.bytes;
    std::erase(m_ended, attempt);
    m_answers.erase(found);
}

const kept_answer* answer_store::find(const attempt_id& attempt) const
{
    const auto found = m_answers.find(attempt);
    return found == m_answers.end() ? nullptr : &found->second;
}

void answer_store::evict()
{
    while (m_bytes > m_maxBytes && !m_ended.empty()) {
        auto& answer = m_answers[m_ended.front()];
        m_ended.pop_front();
        m_bytes -= answer.bytes;
        answer.bytes = 0;
        answer.frames.clear();
        answer.evicted = true;
    }
}

} // namespace buckthornrail::dispatch
