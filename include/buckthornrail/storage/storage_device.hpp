/// @file
/// @brief Port to the files of one data folder. Tests put a device behind it that fails on purpose.
#pragma once

#include "buckthornrail/core/result_code.hpp"

#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace buckthornrail::storage {

/// Named files of one folder. What was written lasts only once it is synced.
class storage_device {
public:
    storage_device() = default;
    storage_device(const storage_device&) = delete;
    storage_device& operator=(const storage_device&) = delete;
    virtual ~storage_device() = default;

    /// @return the file's bytes, nothing when there is no such file, StorageFailed when it can't be read.
    virtual tl::expected<std::optional<std::string>, failure> read(const std::string& name) = 0;
    /// @brief Appends bytes and syncs the file. @return StorageFailed when that can't be done.
    virtual tl::expected<void, failure> appendSynced(const std::string& name, const std::string& bytes) = 0;
    /// @brief Puts bytes in place of the whole file: afterwards it holds the old or the new bytes, never a mixture.
    virtual tl::expected<void, failure> replaceSynced(const std::string& name, const std::string& bytes) = 0;
};

/// @brief A device over a folder, which is made when missing and locked against a second process.
/// @return StorageFailed when the folder can't be used.
tl::expected<std::unique_ptr<storage_device>, failure> openFolder(const std::string& path);

} // namespace buckthornrail::storage
