// Splits responses into chunks and counts the tokens of a stream.

#include "connection/relay.h"

namespace liftweir {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data: ";
constexpr std::string_view EndMark = "data: [DONE]";
constexpr std::size_t MaxPlainChunkBytes = 64 * 1024;

} // namespace

bool Relay::add_bytes(std::string_view bytes) {
    if (window_ != 0 && unacknowledged_ >= window_)
        return false;
    unacknowledged_ += bytes.size();
    buffer_ += bytes;
    return true;
}

void Relay::credit(std::uint32_t bytes) {
    unacknowledged_ -= std::min<std::uint64_t>(unacknowledged_, bytes);
}

std::optional<Chunk> Relay::next_chunk() {
    std::size_t length = std::min(buffer_.size(), MaxPlainChunkBytes);
    if (streamed_) {
        const auto end = buffer_.rfind(EventEnd);
        length = end == std::string::npos ? 0 : end + EventEnd.size();
    }
    if (length == 0)
        return std::nullopt;
    Chunk chunk;
    chunk.id = id_;
    chunk.number = chunks_++;
    chunk.bytes = buffer_.substr(0, length);
    buffer_.erase(0, length);
    bytes_ += length;
    for (std::size_t at = 0; streamed_ && at < length;) {
        const std::string_view event = std::string_view(chunk.bytes).substr(at);
        if (event.starts_with(EndMark))
            end_mark_ = true;
        else if (event.starts_with(DataField))
            ++tokens_;
        at += event.find(EventEnd) + EventEnd.size();
    }
    chunk.tokens = tokens_;
    return chunk;
}

std::optional<End> Relay::finish() const {
    if (streamed_ && (!end_mark_ || !buffer_.empty()))
        return std::nullopt;
    End end;
    end.id = id_;
    end.chunks = chunks_;
    end.bytes = bytes_;
    return end;
}

} // namespace liftweir
