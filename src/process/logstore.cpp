// File format and recovery of the replicated log; runs in the control host programs.

#include "process/logstore.h"

#include "connection/codec.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace liftweir {

namespace {

constexpr std::string_view SegmentPrefix = "log-";
constexpr const char* SnapshotName = "snapshot";
constexpr std::size_t HeaderBytes = 12; // length and checksum of the body

struct Batch {
    bool has_hard = false;
    HardState hard;
    std::vector<LogEntry> entries;
    MSGPACK_DEFINE(has_hard, hard, entries)
};

// The snapshot file also holds the hard state and the remaining entries, so that a single rename
// switches from the old log to the new one.
struct SnapshotFile {
    Snapshot snapshot;
    HardState hard;
    std::vector<LogEntry> remaining;
    std::uint64_t first_segment = 0; // segments below this number are obsolete
    MSGPACK_DEFINE(snapshot, hard, remaining, first_segment)
};

std::string segment_name(std::uint64_t number) {
    const std::string digits = std::to_string(number);
    return std::string(SegmentPrefix) + std::string(20 - digits.size(), '0') + digits;
}

std::string frame(const std::string& body) {
    const auto length = static_cast<std::uint32_t>(body.size());
    const std::uint64_t sum = XXH64(body.data(), body.size(), length);
    std::string out(HeaderBytes, '\0');
    std::memcpy(out.data(), &length, sizeof length);
    std::memcpy(out.data() + sizeof length, &sum, sizeof sum);
    return out + body;
}

// Returns the body of the first frame, or nullopt where the bytes do not start with a whole, valid
// frame.
std::optional<std::string_view> unframe(std::string_view bytes) {
    if (bytes.size() < HeaderBytes)
        return std::nullopt;
    std::uint32_t length = 0;
    std::uint64_t sum = 0;
    std::memcpy(&length, bytes.data(), sizeof length);
    std::memcpy(&sum, bytes.data() + sizeof length, sizeof sum);
    if (length == 0 || length > bytes.size() - HeaderBytes)
        return std::nullopt;
    const auto body = bytes.substr(HeaderBytes, length);
    if (XXH64(body.data(), body.size(), length) != sum)
        return std::nullopt;
    return body;
}

// An invalid frame is a torn tail only if no valid frame starts anywhere after it. Batches are
// synced one after another, so a valid frame after an invalid one proves that synced bytes were
// damaged.
bool valid_frame_follows(std::string_view bytes) {
    for (std::size_t at = 1; at + HeaderBytes < bytes.size(); ++at)
        if (unframe(bytes.substr(at)))
            return true;
    return false;
}

Expected<void> apply_batch(const Batch& batch, StoredLog& out) {
    if (batch.has_hard)
        out.hard_state = batch.hard;
    for (const LogEntry& entry : batch.entries) {
        if (entry.index <= out.snapshot.index)
            continue;
        const Index expected = out.snapshot.index + out.entries.size() + 1;
        if (entry.index > expected)
            return fail(FailureKind::Damaged, "entry " + std::to_string(expected) + " is missing");
        out.entries.resize(entry.index - out.snapshot.index - 1);
        out.entries.push_back(entry);
    }
    return {};
}

} // namespace

Expected<void> LogStore::keep_failure(Expected<void> result) {
    if (!result)
        failure_ = result.error();
    return result;
}

Expected<void> LogStore::load_snapshot(StoredLog& out) {
    const auto bytes = storage_.read(SnapshotName);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    const auto body = unframe(*bytes);
    if (!body)
        return fail(FailureKind::Damaged, "snapshot fails its checksum");
    auto file = decode_struct<SnapshotFile>(*body);
    if (!file)
        return fail(FailureKind::Damaged, "snapshot: " + file.error().detail);
    out.snapshot = std::move(file->snapshot);
    out.hard_state = file->hard;
    out.entries = std::move(file->remaining);
    segment_ = file->first_segment;
    return {};
}

Expected<void> LogStore::load_segment(const std::string& name, bool last, StoredLog& out) {
    const auto bytes = storage_.read(name);
    if (!bytes)
        return tl::make_unexpected(bytes.error());
    std::string_view remaining = *bytes;
    while (!remaining.empty()) {
        const std::size_t at = bytes->size() - remaining.size();
        const auto body = unframe(remaining);
        if (!body) {
            if (!last || valid_frame_follows(remaining))
                return fail(FailureKind::Damaged,
                            name + " fails its checksum at byte " + std::to_string(at));
            out.tail_cut = true;
            segment_bytes_ = at;
            return storage_.truncate(name, at);
        }
        const auto batch = decode_struct<Batch>(*body);
        if (!batch)
            return fail(FailureKind::Damaged, name + ": " + batch.error().detail);
        if (auto applied = apply_batch(*batch, out); !applied)
            return applied;
        remaining.remove_prefix(HeaderBytes + body->size());
    }
    segment_bytes_ = bytes->size();
    return {};
}

Expected<StoredLog> LogStore::open() {
    StoredLog out;
    const auto names = storage_.list();
    if (!names)
        return tl::make_unexpected(names.error());
    if (std::find(names->begin(), names->end(), SnapshotName) != names->end())
        if (auto loaded = load_snapshot(out); !loaded)
            return tl::make_unexpected(loaded.error());

    std::vector<std::string> segments;
    for (const auto& name : *names)
        if (name.starts_with(SegmentPrefix) && name >= segment_name(segment_))
            segments.push_back(name);
    std::sort(segments.begin(), segments.end());
    for (const auto& name : segments) {
        if (auto loaded = load_segment(name, name == segments.back(), out); !loaded)
            return tl::make_unexpected(loaded.error());
        segment_ = std::stoull(name.substr(SegmentPrefix.size()));
    }
    // Bytes that a killed process wrote without syncing are read back from the page cache. They
    // count as stored only after this sync.
    if (!segments.empty())
        if (auto synced = storage_.sync(segments.back()); !synced)
            return tl::make_unexpected(synced.error());
    if (auto removed = remove_segments_below(segment_name(first_segment_number(segments)));
        !removed)
        return tl::make_unexpected(removed.error());
    return out;
}

std::uint64_t LogStore::first_segment_number(const std::vector<std::string>& segments) const {
    return segments.empty() ? segment_ : std::stoull(segments.front().substr(SegmentPrefix.size()));
}

Expected<void> LogStore::remove_segments_below(const std::string& first) {
    const auto names = storage_.list();
    if (!names)
        return tl::make_unexpected(names.error());
    for (const auto& name : *names)
        if (name.starts_with(SegmentPrefix) && name < first)
            if (auto removed = storage_.remove(name); !removed)
                return removed;
    return {};
}

Expected<void> LogStore::write_batch(const std::string& bytes) {
    const std::string name = segment_name(segment_);
    if (auto written = storage_.append(name, bytes); !written)
        return written;
    segment_bytes_ += bytes.size();
    return storage_.sync(name);
}

Expected<void> LogStore::append(const std::optional<HardState>& hard,
                                const std::vector<LogEntry>& entries) {
    if (failure_)
        return tl::make_unexpected(*failure_);
    const Batch batch{hard.has_value(), hard.value_or(HardState{}), entries};
    return keep_failure(write_batch(frame(encode_struct(batch))));
}

// A single rename switches to the new log. If the old segments still counted after a crash, an
// uncommitted suffix that an installed snapshot replaced would reappear, and with it this host
// could win an election or grant a vote that it must not.
Expected<void> LogStore::save_snapshot(const Snapshot& snapshot, const HardState& hard,
                                       const std::vector<LogEntry>& remaining) {
    if (failure_)
        return tl::make_unexpected(*failure_);
    const SnapshotFile file{snapshot, hard, remaining, segment_ + 1};
    if (auto saved = storage_.replace(SnapshotName, frame(encode_struct(file))); !saved)
        return keep_failure(saved);
    ++segment_;
    segment_bytes_ = 0;
    return keep_failure(remove_segments_below(segment_name(segment_)));
}

} // namespace liftweir
