// Access to files: those in a control host's data directory, and whole text files.

#ifndef STORAGE_H_INCLUDED
#define STORAGE_H_INCLUDED

#include "process/failure.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace liftweir {

// The few file operations that the log store needs, as an interface so that tests can inject short
// writes, failed syncs, a full disk and a crash between any two steps. Names are relative to one
// data directory. Every failure is FailureKind::Storage.
class Storage {
  public:
    virtual ~Storage() = default;

    virtual Expected<std::vector<std::string>> list() = 0;
    // Returns the whole contents or fails, never a part of them.
    virtual Expected<std::string> read(const std::string& name) = 0;
    virtual Expected<void> append(const std::string& name, std::string_view bytes) = 0;
    // Syncs the file's contents, and the directory if the file is new.
    virtual Expected<void> sync(const std::string& name) = 0;
    virtual Expected<void> truncate(const std::string& name, std::size_t bytes) = 0;
    // Writes the whole file under a temporary name, syncs it, renames it and syncs the directory.
    // Calls for different names may come from different threads.
    virtual Expected<void> replace(const std::string& name, std::string_view bytes) = 0;
    virtual Expected<void> remove(const std::string& name) = 0;
};

// Opens a directory of the file system. The directory is created if it is missing, and locked
// against a second process.
Expected<std::unique_ptr<Storage>> open_directory(const std::string& path);

// Returns the whole contents of a file or fails with Storage, never a part of them.
Expected<std::string> read_file(const std::string& path);

} // namespace liftweir

#endif // STORAGE_H_INCLUDED
