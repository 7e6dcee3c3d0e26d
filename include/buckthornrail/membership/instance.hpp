/// @file
/// @brief Records that instances announce, and deltas of them.
#pragma once

#include "buckthornrail/core/enum_names.hpp"
#include "buckthornrail/core/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthornrail::membership {

/// Kind of process that an instance is.
enum class instance_role : std::uint8_t { Entry, Sidecar };

inline constexpr std::array roleNames {
    enum_name<instance_role> { instance_role::Entry, "entry" },
    enum_name<instance_role> { instance_role::Sidecar, "sidecar" },
};

/// Lifecycle state of an instance.
enum class instance_state : std::uint8_t {
    Joined, ///< registered, accepts no work yet
    Ready,
    Draining, ///< accepts no new work and finishes its requests in flight
    Left, ///< announced that it leaves; final for the incarnation
    Lost, ///< its heartbeats stopped; a new announcement restores it
};

inline constexpr std::array stateNames {
    enum_name<instance_state> { instance_state::Joined, "joined" },
    enum_name<instance_state> { instance_state::Ready, "ready" },
    enum_name<instance_state> { instance_state::Draining, "draining" },
    enum_name<instance_state> { instance_state::Left, "left" },
    enum_name<instance_state> { instance_state::Lost, "lost" },
};

/// Protocol that a target is called with.
enum class target_kind : std::uint8_t {
    OpenAi, ///< OpenAI-style server with a text metrics page
    KServe, ///< KServe-v2-style server
    LayerRange, ///< engine that runs a range of a model's layers
    PlainService, ///< HTTP service that isn't a model server
};

inline constexpr std::array targetKindNames {
    enum_name<target_kind> { target_kind::OpenAi, "openai" },
    enum_name<target_kind> { target_kind::KServe, "kserve" },
    enum_name<target_kind> { target_kind::LayerRange, "layer_range" },
    enum_name<target_kind> { target_kind::PlainService, "plain_service" },
};

/// Properties of a target, as announced by its sidecar.
struct target_description {
    target_kind kind = target_kind::OpenAi;
    std::string model; ///< empty for a plain service
    std::string version;
    std::string service; ///< of a plain service
    std::string pool; ///< label by which pipelines distribute requests
    std::string accelerator; ///< informational
    std::uint32_t firstLayer = 0;
    std::uint32_t endLayer = 0; ///< exclusive; 0: the target holds the whole model
    std::uint32_t slots = 1; ///< maximum number of concurrent requests
    bool operator==(const target_description&) const = default;
};

/// State of an instance in the replicated table.
struct instance_record {
    instance_id id;
    instance_role role = instance_role::Entry;
    incarnation_number incarnation = 0;
    std::string failureDomain;
    std::string linkAddress; ///< "IP:port"
    std::string httpAddress; ///< "IP:port"
    instance_state state = instance_state::Joined;
    target_description target; ///< of a sidecar
    bool drainRequested = false; ///< by an operator; independent of the state that the instance announces
    std::uint64_t revision = 0; ///< the table's revision at the record's last change
    bool operator==(const instance_record&) const = default;
};

/// Records of a table that changed between two revisions.
struct membership_delta {
    std::uint64_t from = 0; ///< base revision, which the receiver must have reached unless `full` is set
    std::uint64_t to = 0; ///< revision that the receiver has afterwards
    bool full = false; ///< `records` replaces the receiver's whole table
    std::vector<instance_record> records;
};

} // namespace buckthornrail::membership
