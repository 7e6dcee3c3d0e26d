/// @file
/// @brief Parses, validates and formats the configuration document.
#include "buckthornrail/configuration/document.hpp"

#include "buckthornrail/configuration/document_tree.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace buckthornrail::configuration {
namespace {

using nlohmann::json;

constexpr std::uint32_t maxWeight = 1000;
constexpr std::uint32_t maxLayers = 1000;
constexpr std::uint32_t maxInFlightLimit = 1'000'000;
constexpr std::uint32_t percentTotal = 100;
constexpr std::size_t maxNameLength = 128;
constexpr int maxDepth = 16;

/// Thrown within this file; the public functions return it as a failure.
struct invalid_field {
    std::string path;
    std::string reason;
};

[[noreturn]] void reject(const std::string& path, const std::string& reason)
{
    throw invalid_field { path.empty() ? "/" : path, reason };
}

std::string escapePointer(const std::string& name)
{
    std::string escaped;
    for (const char symbol : name) {
        if (symbol == '~')
            escaped += "~0";
        else if (symbol == '/')
            escaped += "~1";
        else
            escaped += symbol;
    }
    return escaped;
}

/// Reads the fields of one JSON object. Fields that were not read are unknown ones.
class object_reader {
public:
    object_reader(const json& value, std::string path)
        : m_value(value)
        , m_path(std::move(path))
    {
        if (!value.is_object())
            reject(m_path, "must be an object");
    }

    std::uint32_t number(const std::string& name, std::uint32_t low, std::uint32_t high, std::uint32_t fallback)
    {
        const json* field = consume(name);
        if (field == nullptr)
            return fallback;
        if (!field->is_number_integer())
            reject(pathOf(name), "must be a whole number");
        const auto value = field->is_number_unsigned() && field->get<std::uint64_t>() > high
            ? static_cast<std::int64_t>(high) + 1
            : field->get<std::int64_t>();
        if (value < low || value > high)
            reject(pathOf(name), "must be from " + std::to_string(low) + " to " + std::to_string(high));
        return static_cast<std::uint32_t>(value);
    }

    std::string text(const std::string& name)
    {
        const json* field = consume(name);
        if (field == nullptr)
            reject(pathOf(name), "is missing");
        if (!field->is_string() || field->get_ref<const std::string&>().empty())
            reject(pathOf(name), "must be a non-empty string");
        return field->get<std::string>();
    }

    request_priority priority(const std::string& name, request_priority fallback)
    {
        const json* field = consume(name);
        if (field == nullptr)
            return fallback;
        const auto value
            = field->is_string() ? valueIn(priorityNames, field->get_ref<const std::string&>()) : std::nullopt;
        if (!value)
            reject(pathOf(name), "must be one of low, normal, high");
        return *value;
    }

    /// @return the array, or an empty one if the field is missing
    const json& list(const std::string& name)
    {
        static const json empty = json::array();
        const json* field = consume(name);
        if (field == nullptr)
            return empty;
        if (!field->is_array())
            reject(pathOf(name), "must be an array");
        return *field;
    }

    /// @return the object, or an empty one if the field is missing
    const json& object(const std::string& name)
    {
        static const json empty = json::object();
        const json* field = consume(name);
        if (field == nullptr)
            return empty;
        if (!field->is_object())
            reject(pathOf(name), "must be an object");
        return *field;
    }

    void rejectUnknownFields() const
    {
        for (const auto& item : m_value.items()) {
            if (!m_consumed.contains(item.key()))
                reject(pathOf(item.key()), "is not a known field");
        }
    }

    [[nodiscard]] std::string pathOf(const std::string& name) const { return m_path + "/" + escapePointer(name); }

private:
    /// @return the field, or nullptr if it is missing
    const json* consume(const std::string& name)
    {
        m_consumed.insert(name);
        const auto found = m_value.find(name);
        return found == m_value.end() ? nullptr : &*found;
    }

    const json& m_value;
    std::string m_path;
    std::set<std::string> m_consumed;
};

void checkName(const std::string& name, const std::string& path)
{
    const auto isAllowed = [](unsigned char symbol) {
        return std::isalnum(symbol) != 0 || symbol == '-' || symbol == '_' || symbol == '.';
    };
    if (name.empty() || name.size() > maxNameLength || !std::all_of(name.begin(), name.end(), isAllowed))
        reject(path, "a name must consist of 1 to 128 letters, digits, '-', '_' or '.'");
}

std::vector<share> readShares(const json& list, const std::string& path, const std::string& nameField)
{
    std::vector<share> shares;
    std::set<std::string> names;
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < list.size(); ++i) {
        object_reader reader(list[i], path + "/" + std::to_string(i));
        share result;
        result.name = reader.text(nameField);
        result.percent = reader.number("share", 0, percentTotal, percentTotal);
        reader.rejectUnknownFields();
        if (!names.insert(result.name).second)
            reject(reader.pathOf(nameField), "is listed twice");
        sum += result.percent;
        shares.push_back(std::move(result));
    }
    if (!shares.empty() && sum != percentTotal)
        reject(path, "shares add up to " + std::to_string(sum) + ", not 100");
    return shares;
}

std::vector<std::string> readWorkspaceNames(const json& list, const std::string& path, const document& parsed)
{
    std::vector<std::string> names;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string itemPath = path + "/" + std::to_string(i);
        if (!list[i].is_string())
            reject(itemPath, "must be the name of a workspace");
        const auto& name = list[i].get_ref<const std::string&>();
        if (!parsed.workspaces.contains(name))
            reject(itemPath, "workspace '" + name + "' is not defined");
        if (std::find(names.begin(), names.end(), name) != names.end())
            reject(itemPath, "is listed twice");
        names.push_back(name);
    }
    return names;
}

workspace readWorkspace(const json& value, const std::string& path)
{
    object_reader reader(value, path);
    workspace result;
    result.weight = reader.number("weight", 1, maxWeight, result.weight);
    result.maxPriority = reader.priority("max_priority", result.maxPriority);
    result.maxInFlight = reader.number("max_in_flight", 0, maxInFlightLimit, result.maxInFlight);
    reader.rejectUnknownFields();
    return result;
}

model readModel(const json& value, const std::string& path)
{
    object_reader reader(value, path);
    model result;
    result.layers = reader.number("layers", 1, maxLayers, result.layers);
    reader.rejectUnknownFields();
    return result;
}

pipeline readPipeline(const json& value, const std::string& path, const document& parsed)
{
    object_reader reader(value, path);
    pipeline result;
    result.model = reader.text("model");
    if (!parsed.models.contains(result.model))
        reject(reader.pathOf("model"), "model '" + result.model + "' is not defined");
    result.versions = readShares(reader.list("versions"), reader.pathOf("versions"), "version");
    if (result.versions.empty())
        reject(reader.pathOf("versions"), "must contain at least one version");
    result.pools = readShares(reader.list("pools"), reader.pathOf("pools"), "pool");
    result.workspaces = readWorkspaceNames(reader.list("workspaces"), reader.pathOf("workspaces"), parsed);
    result.priority = reader.priority("priority", result.priority);
    reader.rejectUnknownFields();
    return result;
}

service readService(const json& value, const std::string& path, const document& parsed)
{
    object_reader reader(value, path);
    service result;
    result.workspaces = readWorkspaceNames(reader.list("workspaces"), reader.pathOf("workspaces"), parsed);
    const json& patterns = reader.list("non_idempotent");
    for (std::size_t i = 0; i < patterns.size(); ++i) {
        object_reader patternReader(patterns[i], reader.pathOf("non_idempotent") + "/" + std::to_string(i));
        request_pattern pattern;
        pattern.method = patternReader.text("method");
        pattern.pathPrefix = patternReader.text("path_prefix");
        if (pattern.pathPrefix.front() != '/')
            reject(patternReader.pathOf("path_prefix"), "must begin with '/'");
        patternReader.rejectUnknownFields();
        result.nonIdempotent.push_back(std::move(pattern));
    }
    reader.rejectUnknownFields();
    return result;
}

/// Calls read(name, value, path) for each entry of a section, after checking its name.
template <typename Reader> void readNamed(object_reader& reader, const std::string& field, Reader read)
{
    for (const auto& item : reader.object(field).items()) {
        const std::string path = reader.pathOf(field) + "/" + escapePointer(item.key());
        checkName(item.key(), path);
        read(item.key(), item.value(), path);
    }
}

document readDocument(const json& root)
{
    document parsed;
    object_reader reader(root, "");
    readNamed(reader, "workspaces", [&](const auto& name, const auto& value, const auto& path) {
        parsed.workspaces[name] = readWorkspace(value, path);
    });
    readNamed(reader, "models",
        [&](const auto& name, const auto& value, const auto& path) { parsed.models[name] = readModel(value, path); });
    readNamed(reader, "pipelines", [&](const auto& name, const auto& value, const auto& path) {
        parsed.pipelines[name] = readPipeline(value, path, parsed);
    });
    readNamed(reader, "services", [&](const auto& name, const auto& value, const auto& path) {
        parsed.services[name] = readService(value, path, parsed);
    });
    reader.rejectUnknownFields();
    return parsed;
}

/// Parses JSON and rejects duplicate fields in an object, which the parser accepts.
json parseStrictly(std::string_view text)
{
    std::vector<std::set<std::string>> openObjects;
    std::string duplicate;
    const auto callback = [&](int depth, json::parse_event_t event, json& parsed) {
        if (depth > maxDepth)
            reject("", "is nested too deeply");
        if (event == json::parse_event_t::object_start)
            openObjects.emplace_back();
        if (event == json::parse_event_t::object_end)
            openObjects.pop_back();
        if (event == json::parse_event_t::key && !openObjects.back().insert(parsed.get<std::string>()).second)
            duplicate = parsed.get<std::string>();
        return true;
    };
    json root = json::parse(text, callback);
    if (!duplicate.empty())
        reject("", "duplicate field '" + duplicate + "' in one object");
    return root;
}

/// Named entry of the document that a patch changes, adds or removes.
struct changed_entry {
    std::string section;
    std::string name;
    auto operator<=>(const changed_entry&) const = default;
};

/// @return the entries that a patch changes, or nothing if it replaces a whole section or the document
std::optional<std::set<changed_entry>> changedEntries(const json& patch)
{
    std::set<changed_entry> entries;
    for (const auto& operation : patch) {
        const auto pointer = json::json_pointer(operation.at("path").get<std::string>());
        auto parts = pointer;
        std::vector<std::string> names;
        for (; !parts.empty(); parts.pop_back())
            names.push_back(parts.back());
        if (names.size() < 2)
            return std::nullopt;
        entries.insert({ names[names.size() - 1], names[names.size() - 2] });
    }
    return entries;
}

/// Parses one entry again, or erases it if it has been removed.
template <typename Entries, typename Reader>
void refresh(Entries& entries, const json& root, const changed_entry& changed, Reader read)
{
    const auto& section = root.at(changed.section);
    const auto found = section.find(changed.name);
    if (found == section.end())
        entries.erase(changed.name);
    else
        entries[changed.name] = read(*found, "/" + changed.section + "/" + escapePointer(changed.name));
}

void refreshEntry(document& parsed, const json& root, const changed_entry& changed)
{
    if (changed.section == "workspaces")
        refresh(parsed.workspaces, root, changed, readWorkspace);
    else if (changed.section == "models")
        refresh(parsed.models, root, changed, readModel);
    else if (changed.section == "pipelines")
        refresh(parsed.pipelines, root, changed,
            [&parsed](const json& value, const std::string& path) { return readPipeline(value, path, parsed); });
    else if (changed.section == "services")
        refresh(parsed.services, root, changed,
            [&parsed](const json& value, const std::string& path) { return readService(value, path, parsed); });
    else
        reject("/" + changed.section, "is not a known field");
}

/// Calls a function and returns what it throws as a failure.
template <typename Function> auto catchFailure(Function function) -> tl::expected<decltype(function()), failure>
{
    try {
        if constexpr (std::is_void_v<decltype(function())>) {
            function();
            return {};
        } else {
            return function();
        }
    } catch (const invalid_field& error) {
        return tl::make_unexpected(failure { result_code::InvalidDocument, error.path + ": " + error.reason });
    } catch (const json::exception& error) {
        return tl::make_unexpected(failure { result_code::InvalidDocument, std::string("not JSON: ") + error.what() });
    }
}

json sharesToJson(const std::vector<share>& shares, const char* nameField)
{
    json list = json::array();
    for (const auto& share : shares)
        list.push_back({ { nameField, share.name }, { "share", share.percent } });
    return list;
}

} // namespace

tl::expected<document, failure> parseDocument(std::string_view text)
{
    return catchFailure([text] { return readDocument(parseStrictly(text)); });
}

std::string formatDocument(const document& value)
{
    json root = { { "workspaces", json::object() }, { "models", json::object() }, { "pipelines", json::object() },
        { "services", json::object() } };
    for (const auto& [name, workspace] : value.workspaces) {
        root["workspaces"][name]
            = { { "weight", workspace.weight }, { "max_priority", nameIn(priorityNames, workspace.maxPriority) },
                  { "max_in_flight", workspace.maxInFlight } };
    }
    for (const auto& [name, model] : value.models)
        root["models"][name] = { { "layers", model.layers } };
    for (const auto& [name, pipeline] : value.pipelines) {
        root["pipelines"][name]
            = { { "model", pipeline.model }, { "versions", sharesToJson(pipeline.versions, "version") },
                  { "pools", sharesToJson(pipeline.pools, "pool") }, { "workspaces", pipeline.workspaces },
                  { "priority", nameIn(priorityNames, pipeline.priority) } };
    }
    for (const auto& [name, service] : value.services) {
        json patterns = json::array();
        for (const auto& pattern : service.nonIdempotent)
            patterns.push_back({ { "method", pattern.method }, { "path_prefix", pattern.pathPrefix } });
        root["services"][name] = { { "workspaces", service.workspaces }, { "non_idempotent", patterns } };
    }
    return root.dump();
}

struct document_tree::tree {
    json root;
};

document_tree::document_tree()
    : m_tree(std::make_unique<tree>())
{
    m_tree->root = json::parse(formatDocument(m_document));
}

document_tree::document_tree(const document_tree& other)
    : m_tree(std::make_unique<tree>(*other.m_tree))
    , m_document(other.m_document)
{
}

document_tree& document_tree::operator=(const document_tree& other)
{
    if (this != &other)
        *this = document_tree(other);
    return *this;
}

document_tree::document_tree(document_tree&&) noexcept = default;
document_tree& document_tree::operator=(document_tree&&) noexcept = default;
document_tree::~document_tree() = default;

tl::expected<void, failure> document_tree::assign(const std::string& text)
{
    return catchFailure([&] {
        json root = parseStrictly(text);
        m_document = readDocument(root);
        m_tree->root = std::move(root);
    });
}

tl::expected<void, failure> document_tree::patchAndValidate(const std::string& patch)
{
    return catchFailure([&] {
        json root = m_tree->root.patch(json::parse(patch));
        m_document = readDocument(root);
        m_tree->root = std::move(root);
    });
}

tl::expected<void, failure> document_tree::patchPrevalidated(const std::string& patch)
{
    return catchFailure([&] {
        const json operations = json::parse(patch);
        m_tree->root.patch_inplace(operations);
        const auto changed = changedEntries(operations);
        if (!changed) {
            m_document = readDocument(m_tree->root);
            return;
        }
        // Pipelines and services refer to models and workspaces, so these are parsed first.
        for (const char* section : { "workspaces", "models", "pipelines", "services" }) {
            for (const auto& entry : *changed) {
                if (entry.section == section)
                    refreshEntry(m_document, m_tree->root, entry);
            }
        }
    });
}

std::string document_tree::text() const { return m_tree->root.dump(); }

} // namespace buckthornrail::configuration
