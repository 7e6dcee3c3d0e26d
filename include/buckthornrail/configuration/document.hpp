/// @file
/// @brief Typed form of the operators' configuration document. Its fields: docs/CONFIGURATION.md.
#pragma once

#include "buckthornrail/core/identifiers.hpp"
#include "buckthornrail/core/priority.hpp"
#include "buckthornrail/core/result_code.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace buckthornrail::configuration {

/// A tenant of the system, with the limits of its requests.
struct workspace {
    std::uint32_t weight = 1; ///< relative share of contended targets, 1 to 1000
    request_priority maxPriority = request_priority::Normal; ///< higher priorities are reduced to this one
    std::uint32_t maxInFlight = 0; ///< concurrent requests through one entry; 0: no limit
    bool operator==(const workspace&) const = default;
};

/// A model that targets serve.
struct model {
    std::uint32_t layers = 1; ///< 1 to 1000
    bool operator==(const model&) const = default;
};

/// Percentage of the traffic for a version or a pool.
struct share {
    std::string name; ///< of the version or pool
    std::uint32_t percent = 0;
    bool operator==(const share&) const = default;
};

/// Traffic split of a model: which versions and pools serve which workspaces.
struct pipeline {
    std::string model;
    std::vector<share> versions; ///< add up to 100
    std::vector<share> pools; ///< add up to 100; empty: every target of the model
    std::vector<std::string> workspaces; ///< that may use the pipeline; empty: all
    request_priority priority = request_priority::Normal; ///< of requests that specify none
    bool operator==(const pipeline&) const = default;
};

/// Matches requests to a plain service that must run at most once.
struct request_pattern {
    std::string method;
    std::string pathPrefix;
    bool operator==(const request_pattern&) const = default;
};

/// A service that is not a model.
struct service {
    std::vector<std::string> workspaces; ///< that may use the service; empty: all
    std::vector<request_pattern> nonIdempotent;
    bool operator==(const service&) const = default;
};

/// The whole document.
struct document {
    std::map<std::string, workspace> workspaces;
    std::map<std::string, model> models;
    std::map<std::string, pipeline> pipelines; ///< by name, which callers pass as the model
    std::map<std::string, service> services;
    bool operator==(const document&) const = default;
};

/// @brief Parses and validates a whole document.
/// @return InvalidDocument with the JSON pointer of the invalid field and the reason
tl::expected<document, failure> parseDocument(std::string_view text);

/// @brief Formats a document as JSON with all fields, in a fixed order.
std::string formatDocument(const document& value);

} // namespace buckthornrail::configuration
