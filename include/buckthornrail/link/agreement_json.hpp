/// @file
/// @brief JSON/CBOR conversion of the replicated log's types, for links and log files.
#pragma once

#include "buckthornrail/agreement/types.hpp"
#include "buckthornrail/link/checked_enum.hpp"

#include <nlohmann/json.hpp>

namespace nlohmann {

template <>
struct adl_serializer<buckthornrail::agreement::entry_kind>
    : buckthornrail::link::checked_enum<buckthornrail::agreement::entry_kind,
          buckthornrail::agreement::entry_kind::Members> {
};

} // namespace nlohmann

namespace buckthornrail::agreement {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(member, id, address, voter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hard_state, term, votedFor)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(log_entry, term, index, kind, command, members)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(snapshot, index, term, members, state)

} // namespace buckthornrail::agreement
