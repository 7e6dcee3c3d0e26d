/// @file
/// @brief Storage device for a folder of the file system.
#include "buckthornrail/storage/storage_device.hpp"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>

namespace buckthornrail::storage {
namespace {

constexpr mode_t fileMode = 0600; ///< owner only

tl::unexpected<failure> systemFailure(const std::string& action, const std::string& path)
{
    const std::string detail = std::error_code(errno, std::generic_category()).message();
    return tl::make_unexpected(failure { result_code::StorageFailed, action + " " + path + ": " + detail });
}

/// Owns a file descriptor and closes it.
class descriptor {
public:
    explicit descriptor(int fd)
        : m_fd(fd)
    {
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor()
    {
        if (m_fd >= 0)
            ::close(m_fd);
    }
    [[nodiscard]] int get() const { return m_fd; }
    [[nodiscard]] bool isOpen() const { return m_fd >= 0; }

private:
    int m_fd;
};

bool writeAll(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::write(fd, bytes.data() + done, bytes.size() - done);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        done += static_cast<std::size_t>(count);
    }
    return true;
}

class folder_device : public storage_device {
public:
    folder_device(std::string path, int lockFd)
        : m_path(std::move(path))
        , m_lock(lockFd)
    {
    }

    tl::expected<std::optional<std::string>, failure> read(const std::string& name) override
    {
        const std::string path = pathOf(name);
        const descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
        if (!file.isOpen() && errno == ENOENT)
            return std::nullopt;
        if (!file.isOpen())
            return systemFailure("open", path);
        std::string bytes;
        std::array<char, 65536> chunk {};
        while (true) {
            const ssize_t count = ::read(file.get(), chunk.data(), chunk.size());
            if (count < 0)
                return systemFailure("read", path);
            if (count == 0)
                return bytes;
            bytes.append(chunk.data(), static_cast<std::size_t>(count));
        }
    }

    tl::expected<void, failure> appendSynced(const std::string& name, const std::string& bytes) override
    {
        const std::string path = pathOf(name);
        const bool isNew = !std::filesystem::exists(path);
        const descriptor file(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, fileMode));
        if (!file.isOpen())
            return systemFailure("open", path);
        if (!writeAll(file.get(), bytes))
            return systemFailure("write", path);
        if (::fdatasync(file.get()) != 0)
            return systemFailure("sync", path);
        if (isNew)
            return syncFolder();
        return {};
    }

    tl::expected<void, failure> replaceSynced(const std::string& name, const std::string& bytes) override
    {
        const std::string path = pathOf(name);
        const std::string temporaryPath = path + ".new";
        {
            const descriptor file(::open(temporaryPath.c_str(), O_WRONLY | O_TRUNC | O_CREAT | O_CLOEXEC, fileMode));
            if (!file.isOpen())
                return systemFailure("open", temporaryPath);
            if (!writeAll(file.get(), bytes))
                return systemFailure("write", temporaryPath);
            if (::fsync(file.get()) != 0)
                return systemFailure("sync", temporaryPath);
        }
        if (::rename(temporaryPath.c_str(), path.c_str()) != 0)
            return systemFailure("rename", temporaryPath);
        return syncFolder();
    }

private:
    [[nodiscard]] std::string pathOf(const std::string& name) const { return m_path + "/" + name; }

    tl::expected<void, failure> syncFolder()
    {
        const descriptor folder(::open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!folder.isOpen() || ::fsync(folder.get()) != 0)
            return systemFailure("sync", m_path);
        return {};
    }

    std::string m_path;
    descriptor m_lock;
};

} // namespace

tl::expected<std::unique_ptr<storage_device>, failure> openFolder(const std::string& path)
{
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return tl::make_unexpected(failure { result_code::StorageFailed, "create " + path + ": " + error.message() });
    const std::string lockPath = path + "/lock";
    const int lock = ::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (lock < 0)
        return systemFailure("open", lockPath);
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        auto refused = systemFailure("lock (in use by another process?)", lockPath);
        ::close(lock);
        return refused;
    }
    return std::make_unique<folder_device>(path, lock);
}

} // namespace buckthornrail::storage
