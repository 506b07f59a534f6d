#ifndef LOGSTORE_H_INCLUDED
#define LOGSTORE_H_INCLUDED

#include "process/raft.h"
#include "process/storage.h"

namespace liftweir {

// What a control host finds in its data folder when it starts.
struct StoredLog {
    HardState hard_state;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
    bool tail_cut = false; // an unsynced last batch was cut off
};

// Segment files of CRC-framed batches, and one snapshot file. A batch is written and synced as a
// whole, so a crash can only damage the last one; damage anywhere else is FailureKind::Damaged.
// After any failure the store answers every call with that failure: a failed fsync may have
// dropped pages, and writing on would turn a lost batch into a hole.
class LogStore {
  public:
    explicit LogStore(Storage& storage) : storage_(storage) {}

    Expected<StoredLog> open();
    // Persists hard state and entries of one RaftReady with one sync.
    Expected<void> append(const std::optional<HardState>& hard,
                          const std::vector<LogEntry>& entries);
    // Makes the snapshot durable, then drops the segments that it covers. `rest` are the
    // entries after the snapshot that must be kept.
    Expected<void> save_snapshot(const Snapshot& snapshot, const HardState& hard,
                                 const std::vector<LogEntry>& rest);

    std::size_t bytes_since_snapshot() const { return segment_bytes_; }

  private:
    Expected<void> load_snapshot(StoredLog& out);
    Expected<void> load_segment(const std::string& name, bool last, StoredLog& out);
    Expected<void> remove_segments_below(const std::string& first);
    std::uint64_t first_segment_of(const std::vector<std::string>& segments) const;
    Expected<void> write_batch(const std::string& bytes);
    Expected<void> guard(Expected<void> result);

    Storage& storage_;
    std::uint64_t segment_ = 0;
    std::size_t segment_bytes_ = 0;
    std::optional<Failure> broken_;
};

} // namespace liftweir

#endif // LOGSTORE_H_INCLUDED
