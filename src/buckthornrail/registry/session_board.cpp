/// @file
/// @brief Sums of sessions, and how they travel between leader and members.
#include "buckthornrail/registry/session_board.hpp"

#include <algorithm>
#include <utility>

namespace buckthornrail::registry {
namespace {

/// Stands on the board for what the leader told of all other controllers.
constexpr session_number elsewhere = 0;

/// @param living sorted, with that gateway
std::uint32_t ordinalIn(const std::vector<std::string>& living, const std::string& gateway)
{
    const auto at = std::lower_bound(living.begin(), living.end(), gateway);
    return static_cast<std::uint32_t>(at - living.begin());
}

void add(session_sums& sum, const session_sums& more)
{
    sum.gateways += more.gateways;
    sum.openAttempts += more.openAttempts;
}

} // namespace

void session_board::begin(bool leads, steady_time now)
{
    m_leads = leads;
    m_census.begin(now);
    for (const auto& [member, sums] : m_members)
        m_loads.forget(member);
    m_members.clear();
    m_loads.forget(elsewhere);
    m_elsewhere = {};
    m_budgetSharers = 0;
    m_answered = m_reported; // what is under way is another leader's to answer
    for (auto& [number, one] : m_sessions)
        one.reportedIn = 0;
}

void session_board::heard(session_number session, const gateway_word& word, const target_table& table, steady_time now)
{
    auto& one = m_sessions[session];
    if (one.word.life.life != word.life.life || one.word.life.id != word.life.id) {
        one.reportedIn = 0;
        one.earlier.reset();
        one.ordinal.reset();
    }
    m_openAttempts += word.openAttempts - one.word.openAttempts;
    one.word = word;
    one.isNews = true;
    if (word.targetRevision == table.revision())
        m_loads.tell(session, table, word.loads);
    if (m_leads)
        m_census.heard(word.life, now);
}

void session_board::forget(session_number session)
{
    if (const auto known = m_sessions.extract(session))
        m_openAttempts -= known.mapped().word.openAttempts;
    m_members.erase(session);
    m_loads.forget(session);
}

session_sums session_board::ownSums() const
{
    return { static_cast<std::uint32_t>(m_sessions.size()), m_openAttempts, 0, {} };
}

bool session_board::isCounted(const gateway_entry& one) const
{
    return one.reportedIn != 0 && one.reportedIn <= m_answered;
}

member_report session_board::report(const target_table& table)
{
    member_report made;
    made.sequence = ++m_reported;
    made.sums = ownSums();
    made.sums.targetRevision = table.revision();
    made.sums.loads = m_loads.othersOf(elsewhere, table);
    for (auto& [number, one] : m_sessions) {
        const bool isCountedAlready = isCounted(one);
        if (!std::exchange(one.isNews, false) && isCountedAlready)
            continue;
        made.lives.push_back(one.word.life);
        // A report that is lost takes its lives with it: they are known to be counted once a later one is answered.
        if (!isCountedAlready)
            one.reportedIn = made.sequence;
    }
    return made;
}

fleet_report session_board::answer(
    session_number member, const member_report& report, const target_table& table, steady_time now)
{
    fleet_report made;
    made.answers = report.sequence;
    m_members[member] = report.sums;
    if (report.sums.targetRevision == table.revision())
        m_loads.tell(member, table, report.sums.loads);
    for (const auto& life : report.lives)
        m_census.heard(life, now);
    const auto living = m_census.living(now);
    for (const auto& life : report.lives) {
        made.ordinals.push_back({ life.id, ordinalIn(living, life.id) });
        if (auto spent = m_census.earlierSpent(life.id))
            made.earlier.push_back({ life.id, std::move(*spent) });
    }
    made.others = ownSums();
    for (const auto& [number, sums] : m_members) {
        if (number != member)
            add(made.others, sums);
    }
    made.others.targetRevision = table.revision();
    made.others.loads = m_loads.othersOf(member, table);
    made.budgetSharers = static_cast<std::uint32_t>(m_census.count(now));
    return made;
}

void session_board::told(const fleet_report& answer, const target_table& table)
{
    if (m_leads || answer.answers <= m_answered || answer.answers > m_reported)
        return; // of an earlier leader, or overtaken
    m_answered = answer.answers;
    m_elsewhere = answer.others;
    m_budgetSharers = answer.budgetSharers;
    if (answer.others.targetRevision == table.revision())
        m_loads.tell(elsewhere, table, answer.others.loads);
    for (const auto& earlier : answer.earlier) {
        for (auto& [number, one] : m_sessions) {
            if (one.word.life.id == earlier.gateway && isCounted(one))
                one.earlier = earlier.spent;
        }
    }
    std::map<std::string, std::uint32_t> ordinals;
    for (const auto& row : answer.ordinals)
        ordinals[row.gateway] = row.ordinal;
    for (auto& [number, one] : m_sessions) {
        const auto row = ordinals.find(one.word.life.id);
        if (row != ordinals.end())
            one.ordinal = row->second;
    }
}

fleet_summary session_board::summaryFor(session_number session, const target_table& table, steady_time now) const
{
    fleet_summary made;
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return made;
    const auto& one = found->second;
    session_sums all = ownSums();
    add(all, m_elsewhere);
    for (const auto& [number, sums] : m_members)
        add(all, sums);
    made.gateways = all.gateways;
    made.othersOpenAttempts = all.openAttempts - one.word.openAttempts;
    made.othersLoads = m_loads.othersOf(session, table);
    if (m_leads) {
        made.budgetSharers = static_cast<std::uint32_t>(m_census.count(now));
        made.ordinal = ordinalIn(m_census.living(now), one.word.life.id);
        made.earlier = m_census.earlierSpent(one.word.life.id);
        return made;
    }
    // A number that leaves this gateway out would let all parts sum up to more than the whole.
    if (isCounted(one)) {
        made.budgetSharers = m_budgetSharers;
        made.ordinal = one.ordinal;
    }
    if (!one.word.life.isComplete)
        made.earlier = one.earlier;
    return made;
}

} // namespace buckthornrail::registry
