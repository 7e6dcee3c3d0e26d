/// @file
/// @brief Sessions of a controller: pushes of updates, and acknowledgements of heartbeats.
#include "app/controller/session_table.hpp"

namespace buckthornrail::app {
namespace {

constexpr std::size_t pageBytes = 64U << 10U;

} // namespace

std::vector<link::configuration_page> makePages(const configuration::configuration_update& update)
{
    const std::size_t count = std::max<std::size_t>(1, (update.text.size() + pageBytes - 1) / pageBytes);
    std::vector<link::configuration_page> pages;
    for (std::size_t i = 0; i < count; ++i) {
        pages.push_back({ update.from, update.to, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(count),
            update.text.substr(i * pageBytes, pageBytes) });
    }
    return pages;
}

void session_table::announced(link::link_number linkNumber, const link::session_announce& announce, steady_time now)
{
    auto& session = m_sessions[linkNumber];
    const bool isNew = session.record.id.empty();
    session.record = announce.record;
    session.wantsState = announce.wantsState;
    session.leaseDeadline = now + m_lease;
    if (isNew) {
        session.configuration = announce.configuration;
        session.revision = announce.membershipRevision;
    }
    m_renewals.insert(announce.record.id);
}

void session_table::heartbeat(link::link_number linkNumber, const link::session_heartbeat& heartbeat, steady_time now)
{
    m_pendingHeartbeats[linkNumber] = heartbeat.sequence;
    const auto found = m_sessions.find(linkNumber);
    if (found == m_sessions.end())
        return;
    found->second.leaseDeadline = now + m_lease;
    m_renewals.insert(found->second.record.id);
}

void session_table::closed(link::link_number linkNumber)
{
    m_sessions.erase(linkNumber);
    m_pendingHeartbeats.erase(linkNumber);
    for (auto& [confirmation, links] : m_confirming)
        links.erase(linkNumber);
}

void session_table::beginConfirmation(std::uint64_t confirmation)
{
    m_confirming[confirmation] = std::exchange(m_pendingHeartbeats, {});
}

void session_table::confirmed(std::uint64_t confirmation, const controller_state& state)
{
    const auto found = m_confirming.find(confirmation);
    if (found == m_confirming.end())
        return;
    const auto links = std::move(found->second);
    m_confirming.erase(m_confirming.begin(), std::next(found));
    for (const auto& [linkNumber, sequence] : links) {
        const auto open = m_sessions.find(linkNumber);
        if (open == m_sessions.end()) {
            m_send(linkNumber,
                link::encode(link::session_ack { sequence, state.configuration().version(), false, false, {} }));
            continue;
        }
        auto& session = open->second;
        session.synced = true;
        push(linkNumber, session, state);
        const auto* record = state.membership().find(session.record.id);
        const bool drain = record != nullptr && record->drainRequested;
        link::session_ack ack { sequence, state.configuration().version(), drain, true, {} };
        if (const auto* released = state.placement().releasedFor(session.record.id))
            ack.order = released->order;
        m_send(linkNumber, link::encode(ack));
    }
}

void session_table::pushAll(const controller_state& state)
{
    for (auto& [linkNumber, session] : m_sessions) {
        if (session.synced)
            push(linkNumber, session, state);
    }
}

std::vector<membership::transition> session_table::missingTransitions(
    const controller_state& state, steady_time now) const
{
    std::vector<membership::transition> missing;
    for (const auto& [linkNumber, session] : m_sessions) {
        // A paused process, for example after SIGSTOP, keeps its link open: its earlier announcement must not undo its
        // loss.
        if (now >= session.leaseDeadline)
            continue;
        const auto* known = state.membership().find(session.record.id);
        if (known == nullptr) {
            missing.push_back({ session.record, false });
            continue;
        }
        membership::instance_record shown = *known;
        shown.revision = session.record.revision;
        shown.drainRequested = session.record.drainRequested;
        const bool isOver
            = known->incarnation == session.record.incarnation && known->state == membership::instance_state::Left;
        if (shown != session.record && !isOver)
            missing.push_back({ session.record, false });
    }
    return missing;
}

std::vector<instance_id> session_table::takeRenewals()
{
    std::vector<instance_id> renewals(m_renewals.begin(), m_renewals.end());
    m_renewals.clear();
    return renewals;
}

void session_table::push(link::link_number linkNumber, session_entry& session, const controller_state& state)
{
    if (!session.wantsState)
        return;
    for (const auto& bytes : configurationUpdates(session.configuration, state))
        m_send(linkNumber, bytes);
    session.configuration = state.configuration().version();
    for (const auto& bytes : membershipUpdates(session.revision, state))
        m_send(linkNumber, bytes);
    session.revision = state.membership().revision();
}

const std::vector<std::string>& session_table::configurationUpdates(
    configuration_version receiverVersion, const controller_state& state)
{
    resetIfOutdated(m_configuration, state.configuration().version());
    const auto [known, isNew] = m_configuration.byReceiverVersion.try_emplace(receiverVersion);
    const auto update = isNew ? state.configuration().updateFor(receiverVersion) : std::nullopt;
    if (!update)
        return known->second;
    for (const auto& page : makePages(*update))
        known->second.push_back(link::encode(page));
    return known->second;
}

const std::vector<std::string>& session_table::membershipUpdates(
    std::uint64_t receiverRevision, const controller_state& state)
{
    resetIfOutdated(m_membership, state.membership().revision());
    const auto [known, isNew] = m_membership.byReceiverVersion.try_emplace(receiverRevision);
    if (isNew && receiverRevision != state.membership().revision())
        known->second.push_back(link::encode(state.membership().changesSince(receiverRevision)));
    return known->second;
}

void session_table::resetIfOutdated(encoded_updates& updates, std::uint64_t to)
{
    if (updates.to != to)
        updates.byReceiverVersion.clear();
    updates.to = to;
}

} // namespace buckthornrail::app
