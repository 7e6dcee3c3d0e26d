/// @file
/// @brief Issuing and releasing orders.
#include "app/controller/placement.hpp"

#include <algorithm>

namespace buckthornrail::app {
namespace {

bool isInUse(const configuration::document& document, const std::string& model, const std::string& version)
{
    for (const auto& [name, pipeline] : document.pipelines) {
        if (pipeline.model != model)
            continue;
        for (const auto& share : pipeline.versions) {
            if (share.name == version && share.percent > 0)
                return true;
        }
    }
    return false;
}

bool isReadyCopy(const membership::instance_record& record, const membership::target_description& expected)
{
    const auto& target = record.target;
    return record.role == membership::instance_role::Sidecar && record.state == membership::instance_state::Ready
        && !record.drainRequested && target.model == expected.model && target.version == expected.version
        && target.firstLayer == expected.firstLayer && target.endLayer == expected.endLayer;
}

} // namespace

tl::expected<dispatch::fencing_token, failure> placement_table::order(const order_command& command,
    const membership::membership_table& instances, const configuration::document& document)
{
    const auto* subject = instances.find(command.instance);
    if (subject == nullptr || subject->target.model.empty())
        return tl::make_unexpected(
            failure { result_code::NotFound, "no target with a model at instance " + command.instance });
    if (!document.models.contains(command.model))
        return tl::make_unexpected(failure { result_code::NotFound, "no such model: " + command.model });
    const auto& current = subject->target;
    const bool changes = current.model != command.model || current.version != command.version;
    // A copy that a pending order will unload doesn't count.
    const auto staysReady = [&](const auto& item) {
        const auto open = m_records.find(item.first);
        const bool willUnload = open != m_records.end()
            && (open->second.state == order_state::Waiting || open->second.state == order_state::Released)
            && (open->second.order.model != current.model || open->second.order.version != current.version);
        return item.first != command.instance && !willUnload && isReadyCopy(item.second, current);
    };
    const bool hasOtherCopy = std::any_of(instances.records().begin(), instances.records().end(), staysReady);
    if (changes && !hasOtherCopy && isReadyCopy(*subject, current) && isInUse(document, current.model, current.version))
        return tl::make_unexpected(failure { result_code::LastCopy, current.model + " version " + current.version });
    auto& record = m_records[command.instance];
    record = { command.instance, { ++m_lastFence, command.model, command.version }, order_state::Waiting, "" };
    releaseWaiting();
    return m_lastFence;
}

void placement_table::ended(const order_ended_command& command)
{
    const auto found = m_records.find(command.instance);
    if (found == m_records.end() || found->second.order.fence != command.fence)
        return;
    found->second.state = command.code == result_code::Ok ? order_state::Done : order_state::Failed;
    found->second.reason = command.reason;
    releaseWaiting();
}

const order_record* placement_table::releasedFor(const instance_id& instance) const
{
    const auto found = m_records.find(instance);
    const bool isReleased = found != m_records.end() && found->second.state == order_state::Released;
    return isReleased ? &found->second : nullptr;
}

void placement_table::restore(std::vector<order_record> records, dispatch::fencing_token lastFence)
{
    m_records.clear();
    for (auto& record : records) {
        const instance_id instance = record.instance;
        m_records.emplace(instance, std::move(record));
    }
    m_lastFence = lastFence;
}

void placement_table::releaseWaiting()
{
    std::size_t released = 0;
    std::vector<order_record*> waiting;
    for (auto& [instance, record] : m_records) {
        released += record.state == order_state::Released ? 1 : 0;
        if (record.state == order_state::Waiting)
            waiting.push_back(&record);
    }
    std::sort(waiting.begin(), waiting.end(),
        [](const order_record* a, const order_record* b) { return a->order.fence < b->order.fence; });
    for (auto* record : waiting) {
        if (released >= maxLoadsAtOnce)
            return;
        record->state = order_state::Released;
        ++released;
    }
}

} // namespace buckthornrail::app
