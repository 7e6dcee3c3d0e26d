/// @file
/// @brief Encoding and applying commands, and snapshots of the state.
#include "app/controller/controller_state.hpp"

#include "buckthornrail/link/state_json.hpp"

namespace nlohmann {

template <>
struct adl_serializer<buckthornrail::app::order_state>
    : buckthornrail::link::checked_enum<buckthornrail::app::order_state, buckthornrail::app::order_state::Failed> {
};

} // namespace nlohmann

namespace buckthornrail::app {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(transition_batch, transitions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(drain_command, instance, drain)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_command, instance, model, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_ended_command, instance, fence, code, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(order_record, instance, order, state, reason)

namespace {

using nlohmann::json;

template <std::size_t Index = 0> command_body bodyFromJson(std::size_t type, const json& body)
{
    if constexpr (Index < std::variant_size_v<command_body>) {
        if (type == Index)
            return command_body(
                std::in_place_index<Index>, body.get<std::variant_alternative_t<Index, command_body>>());
        return bodyFromJson<Index + 1>(type, body);
    } else {
        throw std::out_of_range("command type " + std::to_string(type) + " is unknown");
    }
}

} // namespace

std::string encodeCommand(const command& value)
{
    const json body = std::visit([](const auto& alternative) { return json(alternative); }, value.body);
    std::string bytes;
    json::to_cbor(json { { "id", value.id }, { "t", value.body.index() }, { "b", body } }, bytes);
    return bytes;
}

tl::expected<command, failure> decodeCommand(const std::string& bytes)
{
    try {
        const json envelope = json::from_cbor(bytes);
        return command { envelope.at("id").get<std::string>(),
            bodyFromJson(envelope.at("t").get<std::size_t>(), envelope.at("b")) };
    } catch (const json::exception& error) {
        return tl::make_unexpected(failure { result_code::MalformedMessage, error.what() });
    } catch (const std::out_of_range& error) {
        return tl::make_unexpected(failure { result_code::MalformedMessage, error.what() });
    }
}

command_result controller_state::apply(const command& value)
{
    command_result result;
    if (const auto* change = std::get_if<configuration::change_command>(&value.body)) {
        result.change = m_configuration.apply(*change);
        result.outcome = { result.change.code, result.change.reason };
        return result;
    }
    if (const auto* claim = std::get_if<dispatch::claim_command>(&value.body)) {
        result.claim = m_claims.apply(*claim);
        return result;
    }
    if (!m_recentIds.testAndInsert(value.id))
        result.outcome = applyOnce(value.body, result);
    return result;
}

failure controller_state::applyOnce(const command_body& body, command_result& result)
{
    if (const auto* batch = std::get_if<transition_batch>(&body)) {
        for (const auto& transition : batch->transitions)
            m_membership.apply(transition);
        return {};
    }
    if (const auto* drain = std::get_if<drain_command>(&body)) {
        const auto done = m_membership.requestDrain(drain->instance, drain->drain);
        return done ? failure {} : done.error();
    }
    if (const auto* order = std::get_if<order_command>(&body)) {
        const auto fence = m_placement.order(*order, m_membership, m_configuration.current());
        result.fence = fence.value_or(0);
        return fence ? failure {} : fence.error();
    }
    m_placement.ended(std::get<order_ended_command>(body));
    return {};
}

std::string controller_state::save() const
{
    std::vector<membership::instance_record> records;
    for (const auto& [id, record] : m_membership.records())
        records.push_back(record);
    std::vector<order_record> orders;
    for (const auto& [instance, record] : m_placement.records())
        orders.push_back(record);
    const json whole = { { "orders", orders }, { "fence", m_placement.lastFence() },
        { "configuration", m_configuration.state() }, { "instances", records }, { "revision", m_membership.revision() },
        { "pruned", m_membership.prunedRevision() }, { "claims", m_claims.records() }, { "clock", m_claims.clock() },
        { "recent", m_recentIds.values() } };
    std::string bytes;
    json::to_cbor(whole, bytes);
    return bytes;
}

tl::expected<void, failure> controller_state::restore(const std::string& bytes)
{
    try {
        const json whole = json::from_cbor(bytes);
        if (auto read = m_configuration.restore(whole.at("configuration").get<configuration::store_state>()); !read)
            return read;
        m_membership.restore(whole.at("instances").get<std::vector<membership::instance_record>>(),
            whole.at("revision").get<std::uint64_t>(), whole.at("pruned").get<std::uint64_t>());
        m_claims.restore(
            whole.at("claims").get<std::vector<dispatch::claim_record>>(), whole.at("clock").get<std::uint64_t>());
        m_placement.restore(
            whole.at("orders").get<std::vector<order_record>>(), whole.at("fence").get<dispatch::fencing_token>());
        m_recentIds.assign(whole.at("recent").get<std::deque<std::string>>());
    } catch (const json::exception& error) {
        return tl::make_unexpected(failure { result_code::StorageCorrupt, error.what() });
    } catch (const std::out_of_range& error) {
        return tl::make_unexpected(failure { result_code::StorageCorrupt, error.what() });
    }
    return {};
}

} // namespace buckthornrail::app
