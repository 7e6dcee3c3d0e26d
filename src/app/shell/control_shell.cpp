/// @file
/// @brief The operators' shell: its commands, and their calls of the HTTP interfaces.
#include "app/shell/control_shell.hpp"

#include "app/controller/operator_access.hpp"
#include "app/shared/process.hpp"
#include "app/shell/admission_listing.hpp"
#include "app/shell/member_listing.hpp"
#include "app/shell/request_timeline.hpp"
#include "buckthornrail/http/http_client.hpp"

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <tclap/CmdLine.h>

namespace buckthornrail::app {
namespace {

using nlohmann::json;

constexpr milliseconds callTimeout { 10000 };
constexpr int httpOk = 200;
constexpr int firstErrorStatus = 400;

struct shell_options {
    std::vector<std::string> controllers; ///< HTTP addresses
    std::string token;
    bool asJson = false;
    std::string author;
    std::string changeId;
    std::uint64_t base = 0;
    bool hasBase = false;
    std::vector<std::string> words; ///< the command and its values
    std::vector<std::string> logs; ///< paths of log files, for explain
};

/// Response to an HTTP call.
struct shell_response {
    int status = 0; ///< HTTP status; 0: no response
    json body;
};

shell_response callOne(const shell_options& options, const std::string& address, const std::string& method,
    const std::string& path, const std::string& body)
{
    http::client_request request;
    request.address = address;
    request.method = method;
    request.path = path;
    request.body = body;
    request.contentType = body.empty() ? "" : "application/json";
    request.deadline = steadyNow() + callTimeout;
    if (!options.token.empty())
        request.headers.push_back({ "Authorization", "Bearer " + options.token });
    const auto response = http::call(request);
    if (response.outcome != http::client_outcome::Ok)
        return {};
    return { response.status, json::parse(response.body, nullptr, false) };
}

/// Calls the controllers in turn until one responds with a status other than that of NoQuorum.
/// @return the last response
shell_response callAny(
    const shell_options& options, const std::string& method, const std::string& path, const std::string& body = {})
{
    shell_response last;
    for (const auto& address : options.controllers) {
        auto response = callOne(options, address, method, path, body);
        if (response.status == 0)
            continue;
        last = std::move(response);
        const bool unavailable = last.status == describe(result_code::NoQuorum).httpStatus;
        if (!unavailable)
            return last;
    }
    return last;
}

/// Prints the sentence, the response as JSON, or the error. @return the exit status
int report(const shell_options& options, const shell_response& response, const std::string& sentence)
{
    if (response.status == 0) {
        std::cerr << "buckthornrail ctl: no controller answered at";
        for (const auto& address : options.controllers)
            std::cerr << " " << address;
        std::cerr << "\n";
        return exitFailure;
    }
    if (options.asJson) {
        std::cout << response.body.dump() << "\n";
        return response.status < firstErrorStatus ? exitOk : exitFailure;
    }
    if (response.status < firstErrorStatus) {
        std::cout << sentence << "\n";
        return exitOk;
    }
    const json error = response.body.is_object() ? response.body.value("error", json::object()) : json::object();
    std::cerr << "buckthornrail ctl: " << error.value("code", response.status) << " " << error.value("name", "error")
              << ": " << error.value("message", "");
    // Error responses of registries contain only a reason.
    const json& withReason = error.contains("reason") ? error : response.body;
    if (withReason.is_object() && withReason.contains("reason"))
        std::cerr << " (" << withReason.value("reason", "") << ")";
    std::cerr << "\n";
    return exitFailure;
}

std::optional<std::string> readFile(const std::string& name)
{
    std::ifstream stream(name);
    if (!stream) {
        std::cerr << "buckthornrail ctl: can't open " << name << "\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

int configGet(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/v1/config");
    return report(options, response, response.body.dump(2));
}

int configHistory(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/v1/config/history");
    std::string lines;
    if (response.body.is_object()) {
        for (const auto& change : response.body.value("changes", json::array())) {
            lines += std::to_string(change.value("version", 0)) + "  " + change.value("author", "") + "  "
                + change.value("change_id", "") + "\n";
        }
    }
    return report(options, response, lines);
}

int configCheck(const shell_options& options)
{
    const auto text = readFile(options.words[2]);
    if (!text)
        return exitFailure;
    return report(options, callAny(options, "POST", "/v1/config/check", *text), "valid");
}

int configPut(const shell_options& options)
{
    const auto text = readFile(options.words[2]);
    if (!text)
        return exitFailure;
    const json document = json::parse(*text, nullptr, false);
    if (document.is_discarded()) {
        std::cerr << "buckthornrail ctl: " << options.words[2] << " is not JSON\n";
        return exitFailure;
    }
    std::uint64_t base = options.base;
    if (!options.hasBase) {
        const auto current = callAny(options, "GET", "/v1/config");
        if (current.status == 0 || current.status >= firstErrorStatus)
            return report(options, current, "");
        base = current.body.value("version", std::uint64_t { 0 });
    }
    // Every controller that is tried gets the same id, so that a change whose response was lost is not applied twice.
    const std::string changeId = options.changeId.empty() ? randomId() : options.changeId;
    const json change
        = { { "base", base }, { "change_id", changeId }, { "author", options.author }, { "document", document } };
    const auto response = callAny(options, "PUT", "/v1/config", change.dump());
    const auto version = response.body.is_object() ? response.body.value("version", 0) : 0;
    return report(options, response, "version " + std::to_string(version) + " (change " + changeId + ")");
}

int status(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/v1/status");
    std::ostringstream out;
    if (response.status > 0 && response.status < firstErrorStatus) {
        out << "configuration version " << response.body.value("version", 0) << ", term "
            << response.body.value("term", 0) << ", commit " << response.body.value("commit", 0) << "\n";
        for (const auto& member : response.body.value("controllers", json::array())) {
            out << "controller " << member.value("address", "") << (member.value("leader", false) ? "  leader" : "")
                << (member.value("voter", false) ? "" : "  learner") << "\n";
        }
        for (const auto& instance : response.body.value("instances", json::array())) {
            out << instance.value("role", "") << " " << instance.value("id", "") << "  " << instance.value("state", "")
                << "  " << instance.value("failure_domain", "");
            if (instance.contains("target")) {
                const auto& target = instance["target"];
                out << "  " << target.value("kind", "") << " " << target.value("model", "")
                    << target.value("service", "") << " " << target.value("version", "");
            }
            out << (instance.value("drain_requested", false) ? "  drain requested" : "") << "\n";
        }
    }
    std::string text = out.str();
    if (!text.empty())
        text.pop_back();
    return report(options, response, text);
}

int drain(const shell_options& options)
{
    const std::string& action = options.words[0];
    const auto response = callAny(options, "POST", "/v1/instances/" + options.words[1] + "/" + action);
    return report(options, response, action + " requested for " + options.words[1]);
}

int order(const shell_options& options)
{
    const json parameters = { { "model", options.words[2] }, { "version", options.words[3] } };
    const auto response = callAny(options, "POST", "/v1/instances/" + options.words[1] + "/order", parameters.dump());
    const auto fence = response.body.is_object() ? response.body.value("fence", 0) : 0;
    return report(options, response, "ordered with fencing token " + std::to_string(fence));
}

int initialize(const shell_options& options)
{
    // Only the first controller is called: a second one must not form a log of its own.
    const auto response = callOne(options, options.controllers.front(), "POST", "/v1/cluster/init", "{}");
    return report(options, response, "initialized; the other controllers join by themselves");
}

int quarantineList(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/quarantine");
    std::string text = "fingerprint                       subject  stage    crashes  proofs  ended targets";
    for (const auto& row : response.body.is_object() ? response.body.value("requests", json::array()) : json::array()) {
        std::ostringstream line;
        line << "\n"
             << std::left << std::setw(34) << row.value("fingerprint", "") << std::setw(9)
             << row.value("subject", "request") << std::setw(9) << row.value("stage", "") << std::setw(9)
             << row.value("crashes", 0) << std::setw(8) << row.value("proofs", 0) << row.value("ended", "");
        text += line.str();
    }
    return report(options, response, text);
}

int pushbackList(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/pushback");
    std::string text = "target                        per second  received ms ago  backoff left ms  leaving";
    for (const auto& row : response.body.is_object() ? response.body.value("targets", json::array()) : json::array()) {
        const auto shown
            = [&row](const char* name) { return row.contains(name) ? row.at(name).dump() : std::string("-"); };
        std::ostringstream line;
        line << "\n"
             << std::left << std::setw(30) << row.value("target", "") << std::setw(12) << shown("per_second")
             << std::setw(17) << shown("heard_ms_ago") << std::setw(17) << shown("rest_left_ms")
             << (row.value("leaving", false) ? "yes" : "no");
        text += line.str();
    }
    return report(options, response, text);
}

int admissionList(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/admission");
    // Gateways of earlier releases respond to any path with their readiness, as text.
    if (response.status == httpOk && !response.body.is_object()) {
        std::cerr
            << "buckthornrail ctl: this address doesn't serve /admission; is it a gateway of an earlier release?\n";
        return exitFailure;
    }
    return report(options, response, response.status == httpOk ? admissionListing(response.body) : "");
}

int memberList(const shell_options& options)
{
    const auto response = callAny(options, "GET", "/members");
    return report(options, response, response.status == httpOk ? memberListing(response.body) : "");
}

int quarantineClear(const shell_options& options)
{
    const auto response = callAny(options, "DELETE", "/quarantine/" + options.words[2]);
    const auto cleared = response.body.is_object() ? response.body.value("cleared", 0) : 0;
    return report(options, response, "cleared: " + std::to_string(cleared));
}

/// @brief Explains a request from log files, for which no process needs to run.
int explainFromLogs(const shell_options& options)
{
    std::vector<std::ifstream> files;
    std::vector<log_source> sources;
    files.reserve(options.logs.size());
    for (const auto& path : options.logs) {
        files.emplace_back(path);
        if (!files.back()) {
            std::cerr << "buckthornrail ctl: can't read the log " << path << "\n";
            return exitBadSettings;
        }
        sources.push_back({ std::filesystem::path(path).stem().string(), files.back() });
    }
    const auto timeline = requestTimeline(options.words[1], sources);
    if (timeline.empty()) {
        std::cerr << "buckthornrail ctl: none of the logs mentions request " << options.words[1] << "\n";
        return exitFailure;
    }
    std::cout << format(timeline);
    return exitOk;
}

int explain(const shell_options& options)
{
    if (!options.logs.empty())
        return explainFromLogs(options);
    const auto known = callAny(options, "GET", "/v1/status");
    if (known.status == 0 || known.status >= firstErrorStatus)
        return report(options, known, "");
    for (const auto& instance : known.body.value("instances", json::array())) {
        if (instance.value("role", "") != "entry")
            continue;
        const auto response
            = callOne(options, instance.value("http", ""), "GET", "/v1/explain/" + options.words[1], "");
        if (response.status == 0 || response.status >= firstErrorStatus)
            continue;
        std::string text = "entry " + instance.value("id", "");
        for (const auto& decision : response.body.value("decisions", json::array()))
            text += "\n  " + decision.get<std::string>();
        return report(options, response, text);
    }
    std::cerr << "buckthornrail ctl: no entry has a record of request " << options.words[1] << "\n";
    return exitFailure;
}

/// A command. Words in capitals are placeholders for values.
struct shell_command {
    std::vector<std::string> words;
    int (*run)(const shell_options&);
};

const std::vector<shell_command>& commands()
{
    static const std::vector<shell_command> table {
        { { "config", "get" }, configGet },
        { { "config", "put", "FILE" }, configPut },
        { { "config", "check", "FILE" }, configCheck },
        { { "config", "history" }, configHistory },
        { { "status" }, status },
        { { "drain", "INSTANCE" }, drain },
        { { "undrain", "INSTANCE" }, drain },
        { { "order", "INSTANCE", "MODEL", "VERSION" }, order },
        { { "cluster", "init" }, initialize },
        { { "explain", "REQUEST" }, explain },
        { { "members" }, memberList },
        { { "admission" }, admissionList },
        { { "admission", "list" }, admissionList },
        { { "pushback", "list" }, pushbackList },
        { { "quarantine", "list" }, quarantineList },
        { { "quarantine", "clear", "FINGERPRINT" }, quarantineClear },
    };
    return table;
}

bool isPlaceholder(const std::string& word)
{
    return !word.empty() && std::isupper(static_cast<unsigned char>(word.front())) != 0;
}

bool matches(const shell_command& command, const std::vector<std::string>& words)
{
    if (command.words.size() != words.size())
        return false;
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (!isPlaceholder(command.words[i]) && command.words[i] != words[i])
            return false;
    }
    return true;
}

std::string usage()
{
    std::string text = "Commands:";
    for (const auto& command : commands()) {
        text += "\n  ";
        for (const auto& word : command.words)
            text += word + " ";
    }
    return text;
}

std::vector<std::string> splitAddresses(const std::string& list)
{
    std::vector<std::string> parts;
    std::istringstream stream(list);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

} // namespace

int runControlShell(const std::vector<std::string>& arguments)
{
    shell_options options;
    try {
        TCLAP::CmdLine line("The operators' shell. " + usage(), ' ', "0.1.0");
        TCLAP::ValueArg<std::string> controllers("c", "controllers",
            "HTTP addresses of controllers, separated by commas", false, "127.0.0.1:8001", "IP:port,...", line);
        TCLAP::ValueArg<std::string> tokenFile(
            "t", "token-file", "File with the operators' token", false, "", "file", line);
        TCLAP::SwitchArg asJson("j", "json", "Print responses as JSON", line);
        TCLAP::ValueArg<std::string> author("a", "author", "Name for the history", false, "ctl", "name", line);
        TCLAP::ValueArg<std::string> changeId(
            "i", "change-id", "Id of the change; repeat it to resend the change", false, "", "id", line);
        TCLAP::ValueArg<std::uint64_t> base(
            "b", "base", "Version that the change is based on; default: the current one", false, 0, "version", line);
        TCLAP::MultiArg<std::string> logs(
            "l", "log", "Log of a gateway or registry, for explain; may be repeated", false, "file", line);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its values", true, "words", line);
        std::vector<std::string> copy = arguments;
        line.parse(copy);
        options.controllers = splitAddresses(controllers.getValue());
        options.token = tokenFile.isSet() ? readToken(tokenFile.getValue()) : "";
        options.asJson = asJson.getValue();
        options.author = author.getValue();
        options.changeId = changeId.getValue();
        options.base = base.getValue();
        options.hasBase = base.isSet();
        options.words = words.getValue();
        options.logs = logs.getValue();
        if (tokenFile.isSet() && options.token.empty()) {
            std::cerr << "buckthornrail ctl: no token in " << tokenFile.getValue() << "\n";
            return exitBadSettings;
        }
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "buckthornrail ctl: " << error.error() << " " << error.argId() << "\n";
        return exitBadSettings;
    }
    for (const auto& address : options.controllers) {
        if (auto valid = settings::checkAddress(address); !valid) {
            std::cerr << "buckthornrail ctl: " << valid.error() << "\n";
            return exitBadSettings;
        }
    }
    for (const auto& command : commands()) {
        if (matches(command, options.words))
            return command.run(options);
    }
    std::cerr << "buckthornrail ctl: no such command\n" << usage() << "\n";
    return exitBadSettings;
}

} // namespace buckthornrail::app
