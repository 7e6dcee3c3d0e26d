/// @file
/// @brief What an instance announces of itself.
#pragma once

#include "buckthornrail/core/enum_names.hpp"
#include "buckthornrail/core/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornrail::membership {

enum class instance_role : std::uint8_t { Entry, Sidecar };

inline constexpr std::array roleNames {
    enum_name<instance_role> { instance_role::Entry, "entry" },
    enum_name<instance_role> { instance_role::Sidecar, "sidecar" },
};

enum class instance_state : std::uint8_t {
    Joined, ///< known, takes no work yet
    Ready,
    Draining, ///< takes no new work, finishes what it has
    Left, ///< went after a graceful shutdown
    Lost, ///< its heartbeats stopped
};

inline constexpr std::array stateNames {
    enum_name<instance_state> { instance_state::Joined, "joined" },
    enum_name<instance_state> { instance_state::Ready, "ready" },
    enum_name<instance_state> { instance_state::Draining, "draining" },
    enum_name<instance_state> { instance_state::Left, "left" },
    enum_name<instance_state> { instance_state::Lost, "lost" },
};

/// Dialect of a target.
enum class target_kind : std::uint8_t {
    OpenAi, ///< OpenAI-style server with a text metrics page
    KServe, ///< KServe-v2-style server
    LayerRange, ///< engine that holds a range of layers
    PlainService, ///< HTTP service that isn't a model
};

inline constexpr std::array targetKindNames {
    enum_name<target_kind> { target_kind::OpenAi, "openai" },
    enum_name<target_kind> { target_kind::KServe, "kserve" },
    enum_name<target_kind> { target_kind::LayerRange, "layer_range" },
    enum_name<target_kind> { target_kind::PlainService, "plain_service" },
};

/// What a sidecar says of its target.
struct target_description {
    target_kind kind = target_kind::OpenAi;
    std::string model; ///< empty for a plain service
    std::string version;
    std::string service; ///< for a plain service
    std::string pool; ///< label that pipelines share work out by
    std::string accelerator; ///< for people
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0; ///< one after the last layer; 0: the whole model
    std::uint32_t slots = 1; ///< requests at once
    bool operator==(const target_description&) const = default;
};

/// An instance as the controllers know it.
struct instance_record {
    instance_id id;
    instance_role role = instance_role::Entry;
    incarnation_number incarnation = 0;
    std::string failureDomain;
    std::string linkAddress; ///< "IP:port"
    std::string httpAddress; ///< "IP:port"
    instance_state state = instance_state::Joined;
    target_description target; ///< for a sidecar
    bool drainRequested = false; ///< by an operator
    std::uint64_t revision = 0; ///< revision of the table at the record's last change
    bool operator==(const instance_record&) const = default;
};

/// Records that changed after a revision.
struct membership_delta {
    std::uint64_t from = 0; ///< the receiver must hold this revision, unless `full`
    std::uint64_t to = 0;
    bool full = false; ///< replaces the receiver's whole table
    std::vector<instance_record> records;
};

} // namespace buckthornrail::membership
