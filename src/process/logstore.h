// Stores the replicated log and its snapshot in a control host's data directory.
// Runs in liftweir-control and liftweir-site-control.

#ifndef LOGSTORE_H_INCLUDED
#define LOGSTORE_H_INCLUDED

#include "process/raft.h"
#include "process/storage.h"

namespace liftweir {

// Contents of the data directory when the process starts.
struct StoredLog {
    HardState hard_state;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
    bool tail_cut = false; // an unsynced last batch was removed
};

// Segment files of batches framed with a checksum, and one snapshot file. A batch is written and
// synced as a whole, so a crash can only damage the last one; damage anywhere else is
// FailureKind::Damaged. After a failure every later write returns the same failure: a failed fsync
// may have dropped pages, and further writes would leave a gap in the log.
class LogStore {
  public:
    explicit LogStore(Storage& storage) : storage_(storage) {}

    Expected<StoredLog> open();
    // Persists the hard state and the entries of one RaftReady with a single sync.
    Expected<void> append(const std::optional<HardState>& hard,
                          const std::vector<LogEntry>& entries);
    // Makes the snapshot durable, then removes the segments that it covers. `remaining` holds the
    // entries after the snapshot, which must be kept.
    Expected<void> save_snapshot(const Snapshot& snapshot, const HardState& hard,
                                 const std::vector<LogEntry>& remaining);

    std::size_t bytes_since_snapshot() const { return segment_bytes_; }

  private:
    Expected<void> load_snapshot(StoredLog& out);
    Expected<void> load_segment(const std::string& name, bool last, StoredLog& out);
    Expected<void> remove_segments_below(const std::string& first);
    std::uint64_t first_segment_number(const std::vector<std::string>& segments) const;
    Expected<void> write_batch(const std::string& bytes);
    Expected<void> keep_failure(Expected<void> result);

    Storage& storage_;
    std::uint64_t segment_ = 0;
    std::size_t segment_bytes_ = 0;
    std::optional<Failure> failure_;
};

} // namespace liftweir

#endif // LOGSTORE_H_INCLUDED
