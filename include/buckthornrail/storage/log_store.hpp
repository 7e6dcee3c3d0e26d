/// @file
/// @brief Files of the replicated log: the member's identity, the last snapshot, and a log of checksummed records.
///
/// Each call of persist() appends one record, so a crash leaves it complete or torn, and one sync covers all its
/// entries.
#pragma once

#include "buckthornrail/agreement/replica.hpp"
#include "buckthornrail/storage/storage_device.hpp"

namespace buckthornrail::storage {

/// @brief Loads and persists the state of one replica.
/// @ingroup storage
class log_store {
public:
    explicit log_store(storage_device& device)
        : m_device(device)
    {
    }

    /// @brief Reads the folder's member id. A new folder is given one, which is synced.
    /// @param newId the id for a new folder
    /// @return the folder's member id; StorageCorrupt when the identity file is damaged, or missing although a log
    /// exists; StorageFailed on a read or write error
    tl::expected<agreement::member_id, failure> loadIdentity(agreement::member_id newId);

    /// @brief Reads the snapshot and the log. A torn record at the end of the log is truncated.
    /// @return StorageCorrupt when the snapshot is damaged, the log has a gap, or a damaged record precedes an intact
    /// one; StorageFailed on a read or write error
    tl::expected<agreement::persistent_state, failure> load();

    /// @brief Persists the state in the effects and syncs it. After an error the state on disk is unknown, so the
    /// replica must leave the protocol.
    /// @return StorageFailed on a write error
    tl::expected<void, failure> persist(const agreement::effects& effects);

    /// @brief Replaces the snapshot, and the log with the entries after it.
    /// @return StorageFailed on a write error
    tl::expected<void, failure> saveSnapshot(const agreement::snapshot& snapshot, const agreement::hard_state& hard,
        const std::vector<agreement::log_entry>& entriesAfter);

    /// @brief Appends an empty record, to check whether the device accepts writes again.
    /// @return StorageFailed on a write error
    tl::expected<void, failure> probe();

private:
    storage_device& m_device;
    agreement::hard_state m_hard;
};

} // namespace buckthornrail::storage
