/// @file
/// @brief Handlers of operators' requests.
#include "app/controller/controller_api.hpp"

#include "app/controller/operator_access.hpp"
#include "buckthornrail/http/error_response.hpp"

#include <nlohmann/json.hpp>

namespace buckthornrail::app {
namespace {

using http::http_exchange;
using http::http_request;
using nlohmann::json;

constexpr milliseconds confirmTimeout { 2000 };
constexpr milliseconds commitTimeout { 5000 };
constexpr milliseconds loopTimeout { 6000 };
constexpr int maxDepth = 32;
constexpr std::string_view instancePrefix = "/v1/instances/";

void respondJson(http_exchange& exchange, const json& body)
{
    const auto text = body.dump(-1, ' ', false, json::error_handler_t::replace);
    exchange.respond(200, { { "Content-Type", "application/json" } }, text + "\n");
}

void refuse(http_exchange& exchange, const failure& error)
{
    http::respondError(exchange, error, error.code == result_code::NoQuorum ? ran_state::Unknown : ran_state::No);
}

json instanceToJson(const membership::instance_record& record)
{
    json row = { { "id", record.id }, { "role", nameIn(membership::roleNames, record.role) },
        { "state", nameIn(membership::stateNames, record.state) }, { "failure_domain", record.failureDomain },
        { "http", record.httpAddress }, { "link", record.linkAddress }, { "drain_requested", record.drainRequested } };
    if (record.role != membership::instance_role::Sidecar)
        return row;
    const auto& target = record.target;
    row["target"] = { { "kind", nameIn(membership::targetKindNames, target.kind) }, { "model", target.model },
        { "version", target.version }, { "service", target.service }, { "pool", target.pool },
        { "accelerator", target.accelerator }, { "first_layer", target.firstLayer }, { "end_layer", target.endLayer },
        { "slots", target.slots } };
    return row;
}

json statusToJson(const controller_status& status)
{
    json members = json::array();
    for (const auto& member : status.members)
        members.push_back({ { "id", std::to_string(member.id) }, { "address", member.address },
            { "voter", member.voter }, { "leader", member.id == status.leader } });
    json instances = json::array();
    for (const auto& record : status.instances)
        instances.push_back(instanceToJson(record));
    json orders = json::array();
    for (const auto& record : status.orders)
        orders.push_back({ { "instance", record.instance }, { "fence", record.order.fence },
            { "model", record.order.model }, { "version", record.order.version },
            { "state", nameIn(orderStateNames, record.state) }, { "reason", record.reason } });
    return { { "orders", orders }, { "self", std::to_string(status.self) }, { "role", nameOf(status.role) },
        { "term", status.term }, { "commit", status.commit }, { "controllers", members },
        { "reachable", status.reachable.size() }, { "version", status.version }, { "claims", status.claims },
        { "sessions", status.sessions }, { "instances", instances } };
}

/// Handles operators' requests on the HTTP server's threads, which wait for results from the loop thread.
class operator_api {
public:
    operator_api(link::event_loop& loop, controller& role)
        : m_loop(loop)
        , m_role(role)
    {
    }

    void configuration(const http_request& request, http_exchange& exchange)
    {
        if (request.method == "GET")
            getConfiguration(exchange, false);
        else if (request.method == "PUT")
            putConfiguration(request, exchange);
        else
            refuse(exchange, { result_code::MalformedRequest, "use GET or PUT" });
    }

    void history(const http_request& /*request*/, http_exchange& exchange) { getConfiguration(exchange, true); }

    void check(const http_request& request, http_exchange& exchange)
    {
        const auto parsed = configuration::parseDocument(request.body);
        if (!parsed) {
            refuse(exchange, parsed.error());
            return;
        }
        respondJson(
            exchange, { { "valid", true }, { "document", json::parse(configuration::formatDocument(*parsed)) } });
    }

    void status(const http_request& /*request*/, http_exchange& exchange)
    {
        const auto status
            = callOnLoop<controller_status>(m_loop, loopTimeout, [this](const auto& reply) { reply(m_role.status()); });
        if (!status) {
            refuse(exchange, { result_code::NoQuorum, "the controller's event loop did not answer in time" });
            return;
        }
        respondJson(exchange, statusToJson(*status));
    }

    void initialize(const http_request& /*request*/, http_exchange& exchange)
    {
        using outcome = tl::expected<void, failure>;
        const auto done
            = callOnLoop<outcome>(m_loop, loopTimeout, [this](const auto& reply) { reply(m_role.initialize()); });
        if (!done || !*done) {
            refuse(exchange,
                done ? done->error()
                     : failure { result_code::NoQuorum, "the controller's event loop did not answer in time" });
            return;
        }
        respondJson(exchange, { { "initialized", true } });
    }

    void instance(const http_request& request, http_exchange& exchange)
    {
        const std::string suffix = request.path.substr(instancePrefix.size());
        const auto slash = suffix.rfind('/');
        const std::string action = slash == std::string::npos ? "" : suffix.substr(slash + 1);
        if (request.method == "POST" && action == "order") {
            order(suffix.substr(0, slash), request.body, exchange);
            return;
        }
        if (request.method != "POST" || (action != "drain" && action != "undrain")) {
            refuse(exchange, { result_code::NotFound, "use POST .../drain, .../undrain or .../order" });
            return;
        }
        const auto result = commit(drain_command { suffix.substr(0, slash), action == "drain" });
        if (!result || result->outcome.code != result_code::Ok) {
            refuse(exchange, result ? result->outcome : result.error());
            return;
        }
        respondJson(exchange, { { "instance", suffix.substr(0, slash) }, { "drain", action == "drain" } });
    }

private:
    void order(const std::string& instance, const std::string& body, http_exchange& exchange)
    {
        const json parameters = json::parse(body, nullptr, false);
        const auto isText = [&parameters](const char* name) {
            return parameters.is_object() && parameters.contains(name) && parameters[name].is_string()
                && !parameters[name].empty();
        };
        if (!isText("model") || !isText("version")) {
            refuse(exchange, { result_code::MalformedRequest, "'model' and 'version' must be non-empty strings" });
            return;
        }
        const auto result = commit(order_command {
            instance, parameters["model"].get<std::string>(), parameters["version"].get<std::string>() });
        if (!result || result->outcome.code != result_code::Ok) {
            refuse(exchange, result ? result->outcome : result.error());
            return;
        }
        respondJson(exchange, { { "instance", instance }, { "fence", result->fence } });
    }

    using result_or_failure = tl::expected<command_result, failure>;

    result_or_failure commit(command_body body)
    {
        const auto result = callOnLoop<result_or_failure>(m_loop, loopTimeout,
            [this, body = std::move(body)](const auto& reply) { m_role.submit(body, reply, commitTimeout); });
        return result.value_or(tl::make_unexpected(
            failure { result_code::NoQuorum, "the controller's event loop did not answer in time" }));
    }

    std::optional<confirmed_configuration> readConfirmed()
    {
        using optional_configuration = std::optional<confirmed_configuration>;
        const auto result = callOnLoop<optional_configuration>(m_loop, loopTimeout, [this](const auto& reply) {
            m_role.confirm(
                [this, reply](bool current) {
                    if (!current) {
                        reply(std::nullopt);
                        return;
                    }
                    const auto& store = m_role.state().configuration();
                    reply(confirmed_configuration { store.version(), store.text(), store.history() });
                },
                confirmTimeout);
        });
        return result.value_or(std::nullopt);
    }

    void getConfiguration(http_exchange& exchange, bool withHistory)
    {
        const auto confirmed = readConfirmed();
        if (!confirmed) {
            refuse(exchange, { result_code::NoQuorum, "" });
            return;
        }
        json body = { { "version", confirmed->version } };
        if (!withHistory) {
            body["document"] = json::parse(confirmed->text);
            respondJson(exchange, body);
            return;
        }
        body["changes"] = json::array();
        for (const auto& change : confirmed->history) {
            body["changes"].push_back({ { "version", change.version }, { "change_id", change.changeId },
                { "author", change.author }, { "time", change.wallSeconds }, { "patch", json::parse(change.patch) } });
        }
        respondJson(exchange, body);
    }

    /// Parses a body with the fields "base", "change_id", "author" (optional) and "document".
    /// @return the change without its patch, and the new document's text
    static tl::expected<std::pair<configuration::change_command, std::string>, failure> readChange(
        const std::string& body)
    {
        const auto malformed = [](const std::string& reason) {
            return tl::make_unexpected(failure { result_code::MalformedRequest, reason });
        };
        try {
            const json value = json::parse(body, [](int depth, json::parse_event_t, json&) {
                if (depth > maxDepth) // serialising it again takes a stack frame per level
                    throw std::length_error("the body is nested too deeply");
                return true;
            });
            for (const auto& item : value.items()) {
                const auto& name = item.key();
                if (name != "base" && name != "change_id" && name != "author" && name != "document")
                    return malformed("'" + name + "' is not a known field");
            }
            configuration::change_command change;
            if (!value.at("base").is_number_unsigned())
                return malformed("'base' must be a whole number");
            change.base = value.at("base").get<configuration_version>();
            change.changeId = value.at("change_id").get<std::string>();
            change.author = value.value("author", "");
            change.wallSeconds = wallSeconds();
            if (change.changeId.empty())
                return malformed("'change_id' is empty");
            return std::pair { change, value.at("document").dump() };
        } catch (const json::exception& error) {
            return malformed(error.what());
        } catch (const std::length_error& error) {
            return malformed(error.what());
        }
    }

    void putConfiguration(const http_request& request, http_exchange& exchange)
    {
        auto change = readChange(request.body);
        if (!change) {
            refuse(exchange, change.error());
            return;
        }
        const auto parsed = configuration::parseDocument(change->second);
        const auto confirmed = readConfirmed();
        if (!confirmed) {
            refuse(exchange, { result_code::NoQuorum, "" });
            return;
        }
        if (!parsed) {
            logRejection(change->first.changeId, parsed.error());
            refuse(exchange, parsed.error());
            return;
        }
        if (change->first.base > confirmed->version) {
            refuse(exchange,
                { result_code::VersionConflict, "version " + std::to_string(confirmed->version) + " is current" });
            return;
        }
        // With an older base the patch is not applied: the result is a conflict or, for a resent change, the first
        // result.
        change->first.patch = configuration::makePatch(confirmed->text, configuration::formatDocument(*parsed));
        const auto result = commit(change->first);
        if (!result) {
            refuse(exchange, result.error());
            return;
        }
        const auto& outcome = result->change;
        if (outcome.code != result_code::Ok) {
            logRejection(outcome.changeId, result->outcome);
            refuse(exchange, result->outcome);
            return;
        }
        respondJson(exchange, { { "version", outcome.version }, { "change_id", outcome.changeId } });
    }

    static void logRejection(const std::string& changeId, const failure& error)
    {
        telemetry::logEvent(event_code::ConfigurationRejected,
            { { "change", changeId }, { "code", std::to_string(static_cast<int>(error.code)) },
                { "reason", error.reason } });
    }

    link::event_loop& m_loop;
    controller& m_role;
};

} // namespace

std::vector<http::http_route> controllerRoutes(
    link::event_loop& loop, controller& role, const settings::settings& settings)
{
    const auto api = std::make_shared<operator_api>(loop, role);
    const operator_access access(settings);
    const auto route = [&](const std::string& prefix,
                           void (operator_api::*member)(const http_request&, http_exchange&)) {
        return http::http_route { prefix,
            access.guard([api, member](const auto& request, auto& exchange) { ((*api).*member)(request, exchange); }) };
    };
    return {
        route("/v1/config", &operator_api::configuration),
        route("/v1/config/check", &operator_api::check),
        route("/v1/config/history", &operator_api::history),
        route("/v1/status", &operator_api::status),
        route("/v1/cluster/init", &operator_api::initialize),
        route(std::string(instancePrefix), &operator_api::instance),
        { "/",
            [](const http_request& request, http_exchange& exchange) {
                if (request.path == "/")
                    exchange.respond(200, { { "Content-Type", "text/html; charset=utf-8" } }, consolePage());
                else
                    refuse(exchange, { result_code::NotFound, request.path });
            } },
    };
}

} // namespace buckthornrail::app
