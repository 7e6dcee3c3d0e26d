/// @file
/// @brief A storage device in memory that fails on purpose at a chosen operation.
#pragma once

#include "buckthornrail/storage/storage_device.hpp"

#include <map>

namespace test_support {

using namespace buckthornrail;

/// What happens at the chosen write.
enum class device_fault {
    None,
    CrashBeforeWrite, ///< nothing reaches the disk
    CrashHalfWritten, ///< half of the bytes reach it
    CrashBeforeSync, ///< all bytes were written, none lasts
    CrashAfterSync, ///< all bytes last, the caller never hears of it
    DiskFull, ///< an error, with half of the bytes on the disk
};

/// @brief Keeps what would last. After a crash every call fails until restart().
class failing_device : public storage::storage_device {
public:
    device_fault fault = device_fault::None;
    int writesUntilFault = 0; ///< the fault falls on the write that finds 0 here

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
        // The half-written file is the new one beside it: the old one stands until the rename.
        const bool isHalfWritten
            = isFaultDue() && (fault == device_fault::CrashHalfWritten || fault == device_fault::DiskFull);
        if (isHalfWritten) {
            isCrashed = true;
            return error();
        }
        return write(name, "", bytes);
    }

    /// @brief The machine comes up again with what lasted.
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
        return tl::make_unexpected(failure { result_code::StorageFailed, "ordered fault" });
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
