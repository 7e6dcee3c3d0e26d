/// @file
/// @brief A process's settings, read from an INI file. Every key is checked. Catalogue: docs/SETTINGS.md.
#pragma once

#include "buckthornrail/core/enum_names.hpp"
#include "buckthornrail/membership/instance.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace buckthornrail::settings {

enum class process_role : std::uint8_t { Entry = 1, Sidecar = 2, Controller = 4, Gateway = 8, Registry = 16 };

inline constexpr std::array processRoleNames {
    enum_name<process_role> { process_role::Entry, "entry" },
    enum_name<process_role> { process_role::Sidecar, "sidecar" },
    enum_name<process_role> { process_role::Controller, "controller" },
    enum_name<process_role> { process_role::Gateway, "gateway" },
    enum_name<process_role> { process_role::Registry, "registry" },
};

/// All settings of all roles; a role uses those that its rules name. Periods are in milliseconds.
struct settings {
    std::string sourceFile; ///< that they were read from; not a key
    std::string id;
    std::string failureDomain;
    std::string linkAddress;
    std::string announcedAddress; ///< empty: linkAddress
    std::string httpAddress;
    std::uint32_t httpThreads = 64;
    std::string tokenFile;
    std::vector<std::string> controllers;
    std::uint32_t heartbeatMs = 1000;
    std::uint32_t leaseMs = 3000;
    std::string logLevel = "info";

    std::string strategy = "finish_estimate";
    std::uint32_t defaultTimeoutMs = 60000;
    std::uint32_t maxTimeoutMs = 300000;
    std::uint32_t maxBodyBytes = 4U << 20U;
    std::uint32_t bodyTimeoutMs = 10000;
    std::uint32_t progressTimeoutMs = 5000;
    std::uint32_t claimRetentionSeconds = 3600;

    std::string gatewayAddress;
    double retryRatio = 0.2; ///< repeats for each request, over all gateways
    std::uint32_t retrySlack = 100; ///< repeats in a window besides
    std::uint32_t retryWindowSeconds = 10;
    std::uint32_t graceSeconds = 8; ///< from SIGTERM to the end of the process

    std::string bootstrap = "false";
    std::uint32_t targetHeartbeatMs = 1200;
    std::uint32_t linkPort = 0; ///< 0: the addresses' own
    std::uint32_t linkKeepAliveMs = 2000;
    std::uint32_t linkOpenTimeoutMs = 2000;

    std::string targetKind;
    std::string targetAddress;
    std::string model;
    std::string version;
    std::string service;
    std::string pool = "default";
    std::string accelerator;
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0;
    std::uint32_t slots = 4;
    std::uint32_t queueLimit = 16;
    std::uint32_t probeMs = 500;
    std::string targetFencing = "checked";
    std::uint32_t orderTimeoutMs = 60000;
    std::uint32_t answerKeepBytes = 8U << 20U;

    std::string dataFolder;
    std::uint32_t snapshotEntries = 2000;
    std::uint32_t electionTimeoutMs = 700;

    /// @brief Where others reach this process's links.
    [[nodiscard]] const std::string& reachableAddress() const
    {
        return announcedAddress.empty() ? linkAddress : announcedAddress;
    }
};

using setting_member = std::variant<std::string settings::*, std::uint32_t settings::*,
    std::vector<std::string> settings::*, double settings::*>;

enum class setting_type : std::uint8_t { Text, Address, AddressList, Number, Choice, Fraction };

/// One key: where it stands, which roles know it, and what values it takes.
struct setting_rule {
    std::string_view section;
    std::string_view key;
    std::uint8_t roles = 0; ///< sum of process_role values
    std::uint8_t requiredBy = 0; ///< the same
    setting_type type = setting_type::Text;
    setting_member member;
    std::uint32_t low = 0; ///< Number
    std::uint32_t high = 0; ///< Number
    std::string_view choices; ///< Choice: names, parted by '|'
    std::string_view description;
};

/// @brief The table of all keys.
std::span<const setting_rule> settingRules();

/// One fault in a settings file.
struct settings_fault {
    std::string file;
    std::string section;
    std::string key;
    std::string reason;
};

/// @brief "file: [section] key: reason".
std::string toString(const settings_fault& fault);

/// @brief Reads settings from a text. @param file its name, for faults
tl::expected<settings, std::vector<settings_fault>> parseSettings(
    const std::string& text, const std::string& file, process_role role);

/// @brief A settings file's bytes; nothing when it can't be opened.
std::optional<std::string> readFile(const std::string& file);

/// @brief Reads a settings file.
tl::expected<settings, std::vector<settings_fault>> loadSettings(const std::string& file, process_role role);

/// @brief Checks "IP:port" with a port from 1 to 65535. @return the reason when it is wrong.
tl::expected<void, std::string> checkAddress(const std::string& address);

} // namespace buckthornrail::settings
