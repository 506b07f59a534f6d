// Agent's side of a response: turns the endpoint's bytes into numbered chunks for the entry host.

#ifndef RELAY_H_INCLUDED
#define RELAY_H_INCLUDED

#include "connection/wire.h"

#include <optional>
#include <string>
#include <string_view>

namespace liftweir {

// Streams of server-sent events are split at event boundaries, so that no chunk ends in the middle
// of a token.
class Relay {
  public:
    Relay(AttemptId id, bool streamed, std::uint32_t resumed_tokens, std::uint32_t window)
        : id_(id), streamed_(streamed), tokens_(resumed_tokens), window_(window) {}

    // Adds bytes from the endpoint. Returns false, without adding them, while the flow control
    // window of the entry host is full.
    bool add_bytes(std::string_view bytes);
    void credit(std::uint32_t bytes);
    // The next chunk; empty if there is no complete event.
    std::optional<Chunk> next_chunk();
    // The end record of a complete response; empty if a stream stopped before its end mark.
    std::optional<End> finish() const;

    std::uint32_t tokens() const { return tokens_; }

  private:
    AttemptId id_;
    bool streamed_;
    std::uint32_t tokens_;
    std::uint32_t window_; // 0: unbounded
    std::uint64_t unacknowledged_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint32_t chunks_ = 0;
    std::string buffer_;
    bool end_mark_ = false;
};

} // namespace liftweir

#endif // RELAY_H_INCLUDED
