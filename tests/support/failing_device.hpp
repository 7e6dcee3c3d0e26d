/// @file
/// @brief Storage device in memory that injects a fault at a chosen write.
#pragma once

#include "buckthornrail/storage/storage_device.hpp"

#include <map>

namespace test_support {

using namespace buckthornrail;

/// Fault injected at the chosen write. Synced data survives a restart.
enum class device_fault {
    None,
    CrashBeforeWrite, ///< no bytes are stored
    CrashHalfWritten, ///< half of the bytes are stored
    CrashBeforeSync, ///< all bytes are written, but lost for lack of a sync
    CrashAfterSync, ///< all bytes are stored, but the call reports an error
    DiskFull, ///< the call reports an error, and half of the bytes are stored
};

/// @brief Keeps the data that survives a crash. After a fault every write fails until restart().
class failing_device : public storage::storage_device {
public:
    device_fault fault = device_fault::None;
    int writesUntilFault = 0; ///< how many more writes succeed before the fault

    tl::expected<std::optional<std::string>, failure> read(const std::string& name) override
    {
        const auto found = files.find(name);
        return found == files.end() ? std::nullopt : std::optional(found->second);
    }

    tl::expected<void, failure> appendSynced(const std::string& name, const std::string& bytes) override
    {
        return write(name, files[name], bytes);
    }

    tl::expected<void, failure> replaceSynced(const std::string& name, const std::string& bytes) override
    {
        // A real device writes a new file and renames it, so a partial write leaves the old file intact.
        const bool isHalfWritten
            = isFaultDue() && (fault == device_fault::CrashHalfWritten || fault == device_fault::DiskFull);
        if (isHalfWritten) {
            isCrashed = true;
            return error();
        }
        return write(name, "", bytes);
    }

    /// @brief Clears the fault, so that writes succeed again, as after a restart of the machine. Stored data is kept.
    void restart()
    {
        isCrashed = false;
        fault = device_fault::None;
    }

    std::map<std::string, std::string> files;
    bool isCrashed = false;

private:
    [[nodiscard]] bool isFaultDue() const { return fault != device_fault::None && writesUntilFault == 0; }

    static tl::unexpected<failure> error()
    {
        return tl::make_unexpected(failure { result_code::StorageFailed, "injected fault" });
    }

    tl::expected<void, failure> write(const std::string& name, const std::string& before, const std::string& bytes)
    {
        if (isCrashed)
            return error();
        const std::string old = before;
        if (!isFaultDue()) {
            --writesUntilFault;
            files[name] = old + bytes;
            return {};
        }
        isCrashed = true;
        if (fault == device_fault::CrashHalfWritten || fault == device_fault::DiskFull)
            files[name] = old + bytes.substr(0, bytes.size() / 2);
        if (fault == device_fault::CrashAfterSync)
            files[name] = old + bytes;
        return error();
    }
};

} // namespace test_support
