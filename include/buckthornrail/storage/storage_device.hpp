/// @file
/// @brief Interface to the files of a data folder. Tests implement it with a device that injects faults.
#pragma once

#include "buckthornrail/core/result_code.hpp"

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace buckthornrail::storage {

/// Named files of one folder. Written data is durable only once it is synced.
class storage_device {
public:
    storage_device() = default;
    storage_device(const storage_device&) = delete;
    storage_device& operator=(const storage_device&) = delete;
    virtual ~storage_device() = default;

    /// @return the file's contents; nothing when it doesn't exist; StorageFailed when it can't be read
    virtual tl::expected<std::optional<std::string>, failure> read(const std::string& name) = 0;
    /// @brief Appends bytes and syncs the file. After an error part of them may have been written.
    /// @return StorageFailed when writing or syncing fails
    virtual tl::expected<void, failure> appendSynced(const std::string& name, const std::string& bytes) = 0;
    /// @brief Replaces the file's contents atomically and syncs: afterwards it holds the old or the new bytes, even
    /// after an error or a crash.
    /// @return StorageFailed when writing, syncing or renaming fails
    virtual tl::expected<void, failure> replaceSynced(const std::string& name, const std::string& bytes) = 0;
};

/// @brief Opens a folder as a storage device. It is created when missing, and locked against other processes.
/// @return StorageFailed when the folder can't be created or locked
tl::expected<std::unique_ptr<storage_device>, failure> openFolder(const std::string& path);

} // namespace buckthornrail::storage
