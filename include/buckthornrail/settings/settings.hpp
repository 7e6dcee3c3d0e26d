/// @file
/// @brief Settings of a process, read from an INI file and validated. Catalogue: docs/SETTINGS.md.
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

inline constexpr std::uint32_t maxToleratedLosses = 10; ///< as a setting; it bounds the number of voters

/// Settings of all roles; each key's rule names the roles that use it.
struct settings {
    std::string sourceFile; ///< file that they were read from; not a key
    std::string id;
    std::string failureDomain;
    std::string linkAddress;
    std::string announcedAddress; ///< given to other processes; empty: linkAddress
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
    double retryRatio = 0.2; ///< retries per request, of all gateways together
    std::uint32_t retrySlack = 100; ///< additional retries per window
    std::uint32_t retryWindowSeconds = 10;
    std::uint32_t graceSeconds = 8; ///< from SIGTERM to the exit of the process
    std::uint32_t maxHeadBytes = 32U << 10U;
    std::uint32_t maxInterimBytes = 16U << 10U;
    std::uint32_t maxResponseBytes = 16U << 20U;
    std::uint32_t maxChunkLineBytes = 4U << 10U;
    std::uint32_t maxTrailerBytes = 16U << 10U;
    std::uint32_t maxEventBytes = 1U << 20U;
    std::uint32_t maxPaddingBytes = 256U << 10U;
    std::uint32_t maxOpenBytes = 32U << 20U;
    std::uint32_t maxPauseMs = 30000;
    std::string admissionMode = "auto"; ///< auto: priorities of routes order requests; off: they don't

    std::string bootstrap = "false";
    std::uint32_t toleratedLosses = 0; ///< registries that may be lost at once; 0: as many as the addresses allow
    std::uint32_t targetHeartbeatMs = 1200;
    std::uint32_t linkPort = 0; ///< 0: the port in each address
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
    std::uint32_t responseStoreBytes = 8U << 20U;

    std::string dataFolder;
    std::uint32_t snapshotEntries = 2000;
    std::uint32_t electionTimeoutMs = 700;

    /// @brief Address at which other processes reach the links of this one.
    [[nodiscard]] const std::string& reachableAddress() const
    {
        return announcedAddress.empty() ? linkAddress : announcedAddress;
    }
};

using setting_member = std::variant<std::string settings::*, std::uint32_t settings::*,
    std::vector<std::string> settings::*, double settings::*>;

enum class setting_type : std::uint8_t { Text, Address, AddressList, Number, Choice, Fraction };

/// Rule of one key: its section, the roles that use it and its valid values.
struct setting_rule {
    std::string_view section;
    std::string_view key;
    std::uint8_t roles = 0; ///< sum of process_role values
    std::uint8_t requiredBy = 0; ///< sum of process_role values, a subset of `roles`
    setting_type type = setting_type::Text;
    setting_member member;
    std::uint32_t low = 0; ///< minimum of a Number or Fraction
    std::uint32_t high = 0; ///< maximum of a Number or Fraction
    std::string_view choices; ///< valid values of a Choice, separated by '|'
    std::string_view description;
};

/// @brief Rules of all keys.
std::span<const setting_rule> settingRules();

/// Error in a settings file.
struct settings_error {
    std::string file;
    std::string section;
    std::string key;
    std::string reason;
};

/// @brief Formats an error. @return "file: [section] key: reason", without the parts that are empty
std::string toString(const settings_error& error);

/// @brief Parses and validates settings. @param file name of the file, for errors
/// @return the settings, or all errors found
tl::expected<settings, std::vector<settings_error>> parseSettings(
    const std::string& text, const std::string& file, process_role role);

/// @brief Reads a whole file. @return nothing if it can't be opened
std::optional<std::string> readFile(const std::string& file);

/// @brief Reads, parses and validates a settings file. @return the settings, or all errors found
tl::expected<settings, std::vector<settings_error>> loadSettings(const std::string& file, process_role role);

/// @brief Checks that an address is "IP:port", an IPv4 address and a port from 1 to 65535. @return why it is invalid
tl::expected<void, std::string> checkAddress(const std::string& address);

} // namespace buckthornrail::settings
