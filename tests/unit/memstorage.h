// In-memory storage for tests, with injected faults.

#ifndef MEMSTORAGE_H_INCLUDED
#define MEMSTORAGE_H_INCLUDED

#include "process/storage.h"

#include <limits>
#include <map>

namespace liftweir {

// Keeps synced and unsynced contents of each file apart, so that a crash can drop the latter.
class MemStorage : public Storage {
  public:
    Expected<std::vector<std::string>> list() override {
        std::vector<std::string> names;
        for (const auto& [name, file] : files_)
            names.push_back(name);
        return names;
    }
    Expected<std::string> read(const std::string& name) override {
        const auto found = files_.find(name);
        if (found == files_.end())
            return failed();
        return found->second.written;
    }
    Expected<void> append(const std::string& name, std::string_view bytes) override {
        if (!step())
            return failed();
        File& file = files_[name];
        if (file.written.size() + bytes.size() > limit_) {
            file.written += bytes.substr(0, limit_ - std::min(limit_, file.written.size()));
            return failed();
        }
        file.written += bytes;
        return {};
    }
    Expected<void> sync(const std::string& name) override {
        if (!step())
            return failed();
        File& file = files_[name];
        if (std::exchange(fail_sync_, false)) {
            // Only some of the bytes reach the disk.
            file.synced =
                file.written.substr(0, std::min(file.written.size(), file.synced.size() + torn_));
            return failed();
        }
        file.synced = file.written;
        return {};
    }
    Expected<void> truncate(const std::string& name, std::size_t bytes) override {
        if (!step())
            return failed();
        files_[name].written.resize(bytes);
        files_[name].synced = files_[name].written;
        return {};
    }
    Expected<void> replace(const std::string& name, std::string_view bytes) override {
        if (!step())
            return failed();
        files_[name] = {std::string(bytes), std::string(bytes)};
        return {};
    }
    Expected<void> remove(const std::string& name) override {
        if (!step())
            return failed();
        files_.erase(name);
        return {};
    }

    void crash() {
        steps_ = std::numeric_limits<int>::max();
        for (auto& [name, file] : files_)
            file.written = file.synced;
    }
    void fail_sync_next() { fail_sync_ = true; }
    void tear_unsynced(std::size_t bytes) { torn_ = bytes; }
    void limit_bytes(std::size_t bytes) { limit_ = bytes; }
    void stop_after(int steps) { steps_ = steps; }
    void flip_byte(const std::string& name, std::size_t at) {
        files_[name].written[at] = static_cast<char>(files_[name].written[at] ^ 1);
    }

  private:
    struct File {
        std::string written;
        std::string synced;
    };

    bool step() { return steps_-- > 0; }
    static tl::unexpected<Failure> failed() { return fail(FailureKind::Storage, "injected"); }

    std::map<std::string, File> files_;
    int steps_ = std::numeric_limits<int>::max();
    bool fail_sync_ = false;
    std::size_t torn_ = 0;
    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
};

} // namespace liftweir

#endif // MEMSTORAGE_H_INCLUDED
