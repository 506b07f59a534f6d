// Storage on a directory of the file system; runs in the control host programs.

#include "process/storage.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <map>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace liftweir {

namespace {

constexpr const char* LockName = "lock";
constexpr const char* TemporarySuffix = ".tmp";

tl::unexpected<Failure> os_failure(const std::string& what) {
    return fail(FailureKind::Storage, what + ": " + std::strerror(errno));
}

class Descriptor {
  public:
    explicit Descriptor(int fd) : fd_(fd) {}
    ~Descriptor() {
        if (fd_ >= 0)
            ::close(fd_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    Descriptor& operator=(Descriptor&&) = delete;

    int get() const { return fd_; }

  private:
    int fd_;
};

Expected<void> write_all(int fd, std::string_view bytes, const std::string& name) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return os_failure("write " + name);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

Expected<std::string> read_all(int fd, const std::string& name) {
    std::string content;
    std::array<char, 65536> piece;
    while (true) {
        const ssize_t count = ::read(fd, piece.data(), piece.size());
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return os_failure("read " + name);
        if (count == 0)
            return content;
        content.append(piece.data(), static_cast<std::size_t>(count));
    }
}

Expected<std::string> read_at(const std::string& path, const std::string& name) {
    const Descriptor fd(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (fd.get() < 0)
        return os_failure("open " + name);
    return read_all(fd.get(), name);
}

class DirectoryStorage final : public Storage {
  public:
    DirectoryStorage(std::string path, Descriptor directory, Descriptor lock)
        : path_(std::move(path)), directory_(std::move(directory)), lock_(std::move(lock)) {}

    Expected<std::vector<std::string>> list() override {
        std::vector<std::string> names;
        std::error_code error;
        for (const auto& item : std::filesystem::directory_iterator(path_, error))
            if (item.path().filename() != LockName)
                names.push_back(item.path().filename());
        if (error)
            return fail(FailureKind::Storage, "list " + path_ + ": " + error.message());
        return names;
    }

    Expected<std::string> read(const std::string& name) override { return read_at(at(name), name); }

    Expected<void> append(const std::string& name, std::string_view bytes) override {
        const auto fd = open_for_append(name);
        if (!fd)
            return tl::make_unexpected(fd.error());
        return write_all(*fd, bytes, name);
    }

    Expected<void> sync(const std::string& name) override {
        const auto fd = open_for_append(name);
        if (!fd)
            return tl::make_unexpected(fd.error());
        if (::fdatasync(*fd) != 0)
            return os_failure("sync " + name);
        return sync_directory_once(name);
    }

    Expected<void> truncate(const std::string& name, std::size_t bytes) override {
        if (::truncate(at(name).c_str(), static_cast<off_t>(bytes)) != 0)
            return os_failure("truncate " + name);
        return sync(name);
    }

    Expected<void> replace(const std::string& name, std::string_view bytes) override {
        const std::string temporary = at(name) + TemporarySuffix;
        const Descriptor fd(
            ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
        if (fd.get() < 0)
            return os_failure("open " + temporary);
        if (auto written = write_all(fd.get(), bytes, name); !written)
            return written;
        if (::fsync(fd.get()) != 0)
            return os_failure("sync " + name);
        if (::rename(temporary.c_str(), at(name).c_str()) != 0)
            return os_failure("rename " + name);
        return sync_directory();
    }

    Expected<void> remove(const std::string& name) override {
        open_.erase(name);
        if (::unlink(at(name).c_str()) != 0)
            return os_failure("remove " + name);
        return sync_directory();
    }

  private:
    std::string at(const std::string& name) const { return path_ + "/" + name; }

    Expected<int> open_for_append(const std::string& name) {
        const auto known = open_.find(name);
        if (known != open_.end())
            return known->second.get();
        Descriptor fd(::open(at(name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
        if (fd.get() < 0)
            return os_failure("open " + name);
        return open_.emplace(name, std::move(fd)).first->second.get();
    }

    Expected<void> sync_directory() {
        if (::fsync(directory_.get()) != 0)
            return os_failure("sync " + path_);
        return {};
    }

    // A new file's name is durable only after its directory is synced, which is done once per file.
    Expected<void> sync_directory_once(const std::string& name) {
        if (name == directory_synced_for_)
            return {};
        directory_synced_for_ = name;
        return sync_directory();
    }

    std::string path_;
    Descriptor directory_;
    Descriptor lock_;
    std::map<std::string, Descriptor> open_;
    std::string directory_synced_for_;
};

} // namespace

Expected<std::unique_ptr<Storage>> open_directory(const std::string& path) {
    std::error_code error;
    std::filesystem::create_directories(path, error);
    if (error)
        return fail(FailureKind::Storage, "make " + path + ": " + error.message());
    Descriptor directory(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (directory.get() < 0)
        return os_failure("open " + path);
    Descriptor lock(::open((path + "/" + LockName).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
    if (lock.get() < 0 || ::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
        return os_failure("lock " + path);
    return std::make_unique<DirectoryStorage>(path, std::move(directory), std::move(lock));
}

Expected<std::string> read_file(const std::string& path) {
    return read_at(path, path);
}

} // namespace liftweir
