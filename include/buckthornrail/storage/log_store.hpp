/// @file
/// @brief The replicated log's files: identity, snapshot, and a log of checksummed records.
///
/// One persist is one record, so a crash leaves it whole or torn, and one sync covers all its entries.
#pragma once

#include "buckthornrail/agreement/replica.hpp"
#include "buckthornrail/storage/storage_device.hpp"

namespace buckthornrail::storage {

/// @ingroup storage
class log_store {
public:
    explicit log_store(storage_device& device)
        : m_device(device)
    {
    }

    /// @brief This folder's member id; made from `newId` and synced when the folder is new.
    tl::expected<agreement::member_id, failure> loadIdentity(agreement::member_id newId);

    /// @brief Reads snapshot and log. A torn last record is cut.
    /// @return StorageCorrupt when a damaged record stands before a whole one, StorageFailed on a read error.
    tl::expected<agreement::persistent_state, failure> load();

    /// @brief Makes the effects' state durable. After an error the state on disk is not known: stop voting.
    tl::expected<void, failure> persist(const agreement::effects& effects);

    /// @brief Puts a snapshot and the entries after it in place of the log.
    tl::expected<void, failure> saveSnapshot(const agreement::snapshot& snapshot, const agreement::hard_state& hard,
        const std::vector<agreement::log_entry>& entriesAfter);

    /// @brief Writes an empty record, to learn whether the device takes bytes again.
    tl::expected<void, failure> probe();

private:
    storage_device& m_device;
    agreement::hard_state m_hard;
};

} // namespace buckthornrail::storage
