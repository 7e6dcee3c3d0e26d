/// @file
/// @brief The table of settings and its INI reader.
#include "buckthornrail/settings/settings.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fstream>
#include <ini.h>
#include <map>
#include <set>
#include <sstream>

namespace buckthornrail::settings {
namespace {

constexpr std::uint8_t entryRole = static_cast<std::uint8_t>(process_role::Entry);
constexpr std::uint8_t sidecarRole = static_cast<std::uint8_t>(process_role::Sidecar);
constexpr std::uint8_t controllerRole = static_cast<std::uint8_t>(process_role::Controller);
constexpr std::uint8_t entryAndSidecar = entryRole | sidecarRole;
constexpr std::uint8_t entrySidecarController = entryAndSidecar | controllerRole;
constexpr std::uint8_t gatewayRole = static_cast<std::uint8_t>(process_role::Gateway);
constexpr std::uint8_t registryRole = static_cast<std::uint8_t>(process_role::Registry);
constexpr std::uint8_t gatewayAndRegistry = gatewayRole | registryRole;
constexpr std::uint8_t allRoles = entrySidecarController | gatewayAndRegistry;
constexpr std::uint32_t maxPort = 65535;
constexpr std::uint32_t oneHourMs = 3'600'000;

using type = setting_type;

constexpr std::array rules {
    setting_rule { "instance", "id", allRoles, allRoles, type::Text, &settings::id, 0, 0, "", "Unique name." },
    setting_rule { "instance", "failure_domain", allRoles, allRoles, type::Text, &settings::failureDomain, 0, 0, "",
        "Failure domain of the instance." },
    setting_rule { "instance", "log_level", allRoles, 0, type::Choice, &settings::logLevel, 0, 0, "info|warning|error",
        "Minimum severity of the log lines that are written." },
    setting_rule { "link", "address", sidecarRole | controllerRole | registryRole,
        sidecarRole | controllerRole | registryRole, type::Address, &settings::linkAddress, 0, 0, "",
        "Listen address for links from other processes." },
    setting_rule { "link", "announce", sidecarRole | controllerRole | registryRole, 0, type::Address,
        &settings::announcedAddress, 0, 0, "",
        "Address of the links that is given to other processes, if it differs from the listen address." },
    setting_rule { "http", "address", allRoles, allRoles, type::Address, &settings::httpAddress, 0, 0, "",
        "Listen address for callers (entry), operators (controller), health and metrics (all)." },
    setting_rule { "http", "threads", entrySidecarController, 0, type::Number, &settings::httpThreads, 2, 4096, "",
        "HTTP requests served concurrently." },
    setting_rule { "http", "token_file", entrySidecarController, 0, type::Text, &settings::tokenFile, 0, 0, "",
        "File with the operators' token; without one, operators are accepted from loopback only." },
    setting_rule { "controllers", "addresses", allRoles, allRoles, type::AddressList, &settings::controllers, 0, 0, "",
        "Link addresses of all controllers, separated by commas; for gateways and registries, some of them suffice to "
        "discover the others." },
    setting_rule { "controllers", "heartbeat_ms", entryAndSidecar | gatewayRole, 0, type::Number,
        &settings::heartbeatMs, 50, 10000, "", "Interval of heartbeats to a controller." },
    setting_rule { "controllers", "lease_ms", entrySidecarController, 0, type::Number, &settings::leaseMs, 500, 60000,
        "",
        "Without a confirmed heartbeat for this long, an entry or sidecar accepts no new work and counts as lost." },
    setting_rule { "entry", "strategy", entryRole, 0, type::Choice, &settings::strategy, 0, 0,
        "random|round_robin|least_outstanding|finish_estimate", "How one of several targets is selected." },
    setting_rule { "entry", "default_timeout_ms", entryRole, 0, type::Number, &settings::defaultTimeoutMs, 1, oneHourMs,
        "", "Timeout of requests that specify none." },
    setting_rule { "entry", "max_timeout_ms", entryRole, 0, type::Number, &settings::maxTimeoutMs, 1, 480000, "",
        "Maximum timeout that a request may specify." },
    setting_rule { "entry", "max_body_bytes", entryRole, 0, type::Number, &settings::maxBodyBytes, 1, 16U << 20U, "",
        "Maximum size of a request body." },
    setting_rule { "entry", "body_timeout_ms", entryRole, 0, type::Number, &settings::bodyTimeoutMs, 100, oneHourMs, "",
        "Maximum time for a request body to arrive." },
    setting_rule { "entry", "progress_timeout_ms", entryRole, 0, type::Number, &settings::progressTimeoutMs, 100,
        oneHourMs, "", "A started response without progress for this long is continued by another target." },
    setting_rule { "entry", "claim_retention_s", entryRole, 0, type::Number, &settings::claimRetentionSeconds, 60, 3600,
        "", "How long the claim of an Idempotency-Key is kept." },
    setting_rule { "controllers", "link_port", gatewayAndRegistry, 0, type::Number, &settings::linkPort, 1, maxPort, "",
        "Port of the controllers' links, if it differs from the one in the addresses." },
    setting_rule { "link", "keep_alive_ms", gatewayAndRegistry, 0, type::Number, &settings::linkKeepAliveMs, 50, 60000,
        "", "Interval of pings on links; a link that is silent for three intervals is closed." },
    setting_rule { "link", "open_timeout_ms", gatewayAndRegistry, 0, type::Number, &settings::linkOpenTimeoutMs, 20,
        60000, "", "Timeout for opening a link, after which it is dialled again." },
    setting_rule { "gateway", "address", gatewayRole, gatewayRole, type::Address, &settings::gatewayAddress, 0, 0, "",
        "Listen address for callers." },
    // The keys repeat_* configure the retry budget.
    setting_rule { "gateway", "repeat_ratio", gatewayRole, 0, type::Fraction, &settings::retryRatio, 0, 100, "",
        "Retry budget of each service: retries per request, of all gateways together." },
    setting_rule { "gateway", "repeat_slack", gatewayRole, 0, type::Number, &settings::retrySlack, 0, 1'000'000, "",
        "Retry budget of each service: additional retries per window, of all gateways together." },
    setting_rule { "gateway", "repeat_window_s", gatewayRole, 0, type::Number, &settings::retryWindowSeconds, 1, 3600,
        "", "Length of the window of the retry budget." },
    setting_rule { "gateway", "grace_s", gatewayRole, 0, type::Number, &settings::graceSeconds, 1, 3600, "",
        "Time from SIGTERM to the exit of the process, for requests in flight." },
    setting_rule { "limits", "head_bytes", gatewayRole, 0, type::Number, &settings::maxHeadBytes, 1024, 1U << 20U, "",
        "Bound for the head of a target's response, in bytes." },
    setting_rule { "limits", "interim_bytes", gatewayRole, 0, type::Number, &settings::maxInterimBytes, 1024, 1U << 20U,
        "", "Bound for all interim (1xx) heads before a target's response together, in bytes." },
    setting_rule { "limits", "body_bytes", gatewayRole, 0, type::Number, &settings::maxResponseBytes, 1024, 1U << 30U,
        "", "Bound for the body of a target's response that isn't an event stream, in bytes." },
    setting_rule { "limits", "chunk_line_bytes", gatewayRole, 0, type::Number, &settings::maxChunkLineBytes, 64,
        1U << 20U, "", "Bound for a chunk's size and extensions in a target's response, in bytes." },
    setting_rule { "limits", "trailer_bytes", gatewayRole, 0, type::Number, &settings::maxTrailerBytes, 64, 1U << 20U,
        "", "Bound for the trailers of a target's response, in bytes." },
    setting_rule { "limits", "event_bytes", gatewayRole, 0, type::Number, &settings::maxEventBytes, 1024, 64U << 20U,
        "", "Bound for one event of a target's stream, in bytes." },
    setting_rule { "limits", "padding_bytes", gatewayRole, 0, type::Number, &settings::maxPaddingBytes, 1024,
        64U << 20U, "",
        "Bound for comments, blank lines and, in numbered streams, events without an id between two "
        "events with content, in bytes." },
    setting_rule { "limits", "open_bytes", gatewayAndRegistry, 0, type::Number, &settings::maxOpenBytes, 1U << 20U,
        1U << 30U, "",
        "Bound for all open messages of the process together, in bytes; beyond it the largest ones are "
        "cut off. Keep it below a third of the machine's memory." },
    setting_rule { "limits", "pause_ms", gatewayRole, 0, type::Number, &settings::maxPauseMs, 100, oneHourMs, "",
        "Longest time without content in a target's response that has begun, in milliseconds." },
    setting_rule { "admission", "mode", gatewayRole, 0, type::Choice, &settings::admissionMode, 0, 0, "auto|off",
        "Whether requests to services whose routes differ in priority are ordered by it while capacity is short." },
    setting_rule { "registry", "bootstrap", registryRole, 0, type::Choice, &settings::bootstrap, 0, 0, "true|false",
        "Whether the system starts for the first time: the first of the addresses then creates the log." },
    setting_rule { "registry", "tolerated_losses", registryRole, 0, type::Number, &settings::toleratedLosses, 0,
        maxToleratedLosses, "",
        "Registries that may be lost at once. The log keeps at least twice as many voters and one; a silent voter "
        "beyond "
        "that is removed. 0: (addresses - 1) / 2." },
    setting_rule { "registry", "target_heartbeat_ms", registryRole, 0, type::Number, &settings::targetHeartbeatMs, 50,
        60000, "", "Interval of the targets' heartbeats." },
    setting_rule { "target", "kind", sidecarRole, sidecarRole, type::Choice, &settings::targetKind, 0, 0,
        "openai|kserve|layer_range|plain_service", "Protocol of the target." },
    setting_rule { "target", "address", sidecarRole, sidecarRole, type::Address, &settings::targetAddress, 0, 0, "",
        "HTTP address of the target." },
    setting_rule { "target", "model", sidecarRole, 0, type::Text, &settings::model, 0, 0, "",
        "Model that the target serves; not for a plain service." },
    setting_rule {
        "target", "version", sidecarRole, 0, type::Text, &settings::version, 0, 0, "", "Version of the model." },
    setting_rule {
        "target", "service", sidecarRole, 0, type::Text, &settings::service, 0, 0, "", "Name of a plain service." },
    setting_rule { "target", "pool", sidecarRole, 0, type::Text, &settings::pool, 0, 0, "",
        "Label by which pipelines split their traffic." },
    setting_rule { "target", "accelerator", sidecarRole, 0, type::Text, &settings::accelerator, 0, 0, "",
        "Kind of accelerator, for humans." },
    setting_rule { "target", "first_layer", sidecarRole, 0, type::Number, &settings::firstLayer, 0, 999, "",
        "First layer of a layer_range target." },
    setting_rule { "target", "end_layer", sidecarRole, 0, type::Number, &settings::endLayer, 0, 1000, "",
        "One past the last layer of a layer_range target." },
    setting_rule { "target", "slots", sidecarRole, 0, type::Number, &settings::slots, 1, 1024, "",
        "Requests that the target runs concurrently." },
    setting_rule { "target", "queue_limit", sidecarRole, 0, type::Number, &settings::queueLimit, 0, 4096, "",
        "Requests that may wait at the sidecar." },
    setting_rule { "target", "probe_ms", sidecarRole, 0, type::Number, &settings::probeMs, 50, 60000, "",
        "Interval of readiness probes." },
    setting_rule { "target", "fencing", sidecarRole, 0, type::Choice, &settings::targetFencing, 0, 0, "checked|ignored",
        "Whether the target refuses orders with an outdated fencing token." },
    setting_rule { "target", "order_timeout_ms", sidecarRole, 0, type::Number, &settings::orderTimeoutMs, 100,
        oneHourMs, "", "Maximum duration of an order, such as loading a version." },
    setting_rule { "target", "answer_keep_bytes", sidecarRole, 0, type::Number, &settings::responseStoreBytes, 0,
        256U << 20U, "", "Memory for responses to non-idempotent requests, kept in case they are requested again." },
    setting_rule { "storage", "folder", controllerRole | registryRole, controllerRole | registryRole, type::Text,
        &settings::dataFolder, 0, 0, "", "Data folder, used by this controller only." },
    setting_rule { "storage", "snapshot_entries", controllerRole | registryRole, 0, type::Number,
        &settings::snapshotEntries, 10, 1'000'000, "", "Number of log entries after which a snapshot is saved." },
    setting_rule { "storage", "election_timeout_ms", controllerRole | registryRole, 0, type::Number,
        &settings::electionTimeoutMs, 100, 60000, "",
        "Minimum time without a leader before an election; the maximum is twice as long." },
};

struct raw_value {
    std::string section;
    std::string key;
    std::string value;
};

int collectEntry(void* user, const char* section, const char* key, const char* value)
{
    static_cast<std::vector<raw_value>*>(user)->push_back({ section, key, value });
    return 1;
}

std::vector<std::string> splitList(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream { std::string(text) };
    for (std::string part; std::getline(stream, part, separator);) {
        const auto first = part.find_first_not_of(' ');
        const auto last = part.find_last_not_of(' ');
        parts.push_back(first == std::string::npos ? "" : part.substr(first, last - first + 1));
    }
    return parts;
}

tl::expected<std::uint32_t, std::string> readNumber(const setting_rule& rule, const std::string& text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return tl::make_unexpected("'" + text + "' is not a whole number");
    if (number < rule.low || number > rule.high)
        return tl::make_unexpected(
            text + " is out of range " + std::to_string(rule.low) + " to " + std::to_string(rule.high));
    return static_cast<std::uint32_t>(number);
}

tl::expected<void, std::string> assignValue(const setting_rule& rule, const std::string& text, settings& out)
{
    switch (rule.type) {
    case type::Number: {
        const auto number = readNumber(rule, text);
        if (!number)
            return tl::make_unexpected(number.error());
        out.*std::get<std::uint32_t settings::*>(rule.member) = *number;
        return {};
    }
    case type::Fraction: {
        double fraction = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), fraction);
        if (error != std::errc() || end != text.data() + text.size())
            return tl::make_unexpected("'" + text + "' is not a number");
        if (fraction < rule.low || fraction > rule.high)
            return tl::make_unexpected(
                text + " is out of range " + std::to_string(rule.low) + " to " + std::to_string(rule.high));
        out.*std::get<double settings::*>(rule.member) = fraction;
        return {};
    }
    case type::AddressList: {
        auto parts = splitList(text, ',');
        for (const auto& part : parts) {
            if (auto valid = checkAddress(part); !valid)
                return valid;
        }
        out.*std::get<std::vector<std::string> settings::*>(rule.member) = std::move(parts);
        return {};
    }
    case type::Address:
        if (auto valid = checkAddress(text); !valid)
            return valid;
        break;
    case type::Choice: {
        const auto choices = splitList(rule.choices, '|');
        if (std::find(choices.begin(), choices.end(), text) == choices.end())
            return tl::make_unexpected("'" + text + "' is not one of " + std::string(rule.choices));
        break;
    }
    case type::Text:
        if (text.empty())
            return tl::make_unexpected("must not be empty");
        break;
    }
    out.*std::get<std::string settings::*>(rule.member) = text;
    return {};
}

/// Checks rules that involve more than one key.
void checkKeyCombinations(
    const settings& values, process_role role, const std::string& file, std::vector<settings_error>& errors)
{
    if (role == process_role::Entry && values.defaultTimeoutMs > values.maxTimeoutMs)
        errors.push_back({ file, "entry", "default_timeout_ms", "must not exceed max_timeout_ms" });
    const bool hasLease = role == process_role::Entry || role == process_role::Sidecar;
    if (hasLease && values.heartbeatMs * 2 > values.leaseMs)
        errors.push_back({ file, "controllers", "heartbeat_ms", "must not exceed half of lease_ms" });
    if (role != process_role::Sidecar)
        return;
    const bool isService = values.targetKind == "plain_service";
    if (isService && values.service.empty())
        errors.push_back({ file, "target", "service", "is required for kind plain_service" });
    if (!isService && values.model.empty())
        errors.push_back({ file, "target", "model", "is required unless the kind is plain_service" });
    if (!isService && values.version.empty())
        errors.push_back({ file, "target", "version", "is required unless the kind is plain_service" });
    if (isService && !values.model.empty())
        errors.push_back({ file, "target", "model", "is not allowed for kind plain_service" });
    if (values.targetKind == "layer_range" && values.endLayer <= values.firstLayer)
        errors.push_back({ file, "target", "end_layer", "must be greater than first_layer" });
}

} // namespace

std::span<const setting_rule> settingRules() { return rules; }

std::string toString(const settings_error& error)
{
    std::string text = error.file + ": ";
    if (!error.section.empty())
        text += "[" + error.section + "] ";
    if (!error.key.empty())
        text += error.key + ": ";
    return text + error.reason;
}

tl::expected<settings, std::vector<settings_error>> parseSettings(
    const std::string& text, const std::string& file, process_role role)
{
    std::vector<settings_error> errors;
    std::vector<raw_value> raw;
    const int badLine = ini_parse_string(text.c_str(), collectEntry, &raw);
    if (badLine != 0)
        errors.push_back({ file, "", "", "line " + std::to_string(badLine) + " has a syntax error" });
    settings values;
    values.sourceFile = file;
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& item : raw) {
        const auto rule = std::find_if(rules.begin(), rules.end(), [&](const setting_rule& candidate) {
            return candidate.section == item.section && candidate.key == item.key
                && (candidate.roles & static_cast<std::uint8_t>(role)) != 0;
        });
        if (rule == rules.end()) {
            errors.push_back({ file, item.section, item.key,
                "is not a known key of role " + std::string(nameIn(processRoleNames, role)) });
            continue;
        }
        if (!seen.emplace(item.section, item.key).second) {
            errors.push_back({ file, item.section, item.key, "is set twice" });
            continue;
        }
        if (auto stored = assignValue(*rule, item.value, values); !stored)
            errors.push_back({ file, item.section, item.key, stored.error() });
    }
    for (const auto& rule : rules) {
        const bool needed = (rule.requiredBy & static_cast<std::uint8_t>(role)) != 0;
        if (needed && !seen.contains({ std::string(rule.section), std::string(rule.key) }))
            errors.push_back({ file, std::string(rule.section), std::string(rule.key), "is missing" });
    }
    checkKeyCombinations(values, role, file, errors);
    if (!errors.empty())
        return tl::make_unexpected(std::move(errors));
    if (values.linkPort != 0) {
        for (auto& address : values.controllers)
            address = address.substr(0, address.rfind(':') + 1) + std::to_string(values.linkPort);
    }
    return values;
}

std::optional<std::string> readFile(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        return std::nullopt;
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

tl::expected<settings, std::vector<settings_error>> loadSettings(const std::string& file, process_role role)
{
    const auto text = readFile(file);
    if (!text)
        return tl::make_unexpected(std::vector<settings_error> { { file, "", "", "can't be opened" } });
    return parseSettings(*text, file, role);
}

tl::expected<void, std::string> checkAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return tl::make_unexpected("'" + address + "' is not IP:port");
    in_addr parsed {};
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed) != 1)
        return tl::make_unexpected("'" + address.substr(0, colon) + "' is not an IPv4 address");
    const std::string port = address.substr(colon + 1);
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error != std::errc() || end != port.data() + port.size() || number == 0 || number > maxPort)
        return tl::make_unexpected("port '" + port + "' is out of range 1 to 65535");
    return {};
}

} // namespace buckthornrail::settings
