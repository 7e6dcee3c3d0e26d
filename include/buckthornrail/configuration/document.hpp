/// @file
/// @brief The operators' configuration document, typed. Its fields: docs/CONFIGURATION.md.
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

/// A customer of the operators.
struct workspace {
    std::uint32_t weight = 1; ///< share of contended targets, 1 to 1000
    request_priority maxPriority = request_priority::Normal; ///< higher wishes are lowered to it
    std::uint32_t maxInFlight = 0; ///< requests at once through one entry; 0: no limit
    bool operator==(const workspace&) const = default;
};

/// A model that targets serve.
struct model {
    std::uint32_t layers = 1; ///< 1 to 1000
    bool operator==(const model&) const = default;
};

/// Part of the work, in percent.
struct share {
    std::string name; ///< of a version or a pool
    std::uint32_t percent = 0;
    bool operator==(const share&) const = default;
};

/// Which model and versions serve which workspaces, on which targets.
struct pipeline {
    std::string model;
    std::vector<share> versions; ///< add up to 100
    std::vector<share> pools; ///< add up to 100; empty: every target of the model
    std::vector<std::string> workspaces; ///< empty: all
    request_priority priority = request_priority::Normal; ///< when the caller names none
    bool operator==(const pipeline&) const = default;
};

/// A call of a plain service that must run at most once.
struct request_pattern {
    std::string method;
    std::string pathPrefix;
    bool operator==(const request_pattern&) const = default;
};

/// A plain service.
struct service {
    std::vector<std::string> workspaces; ///< empty: all
    std::vector<request_pattern> nonIdempotent;
    bool operator==(const service&) const = default;
};

/// The whole document.
struct document {
    std::map<std::string, workspace> workspaces;
    std::map<std::string, model> models;
    std::map<std::string, pipeline> pipelines; ///< callers use the name as the model's name
    std::map<std::string, service> services;
    bool operator==(const document&) const = default;
};

/// @brief Reads and validates a whole document.
/// @return InvalidDocument with the path of the field (JSON pointer) and the reason.
tl::expected<document, failure> parseDocument(std::string_view text);

/// @brief The document as JSON text, with every field, in a fixed order.
std::string formatDocument(const document& value);

} // namespace buckthornrail::configuration
