// Splits a stream of server-sent events into complete events.

#ifndef EVENTSPLITTER_H_INCLUDED
#define EVENTSPLITTER_H_INCLUDED

#include <cstddef>
#include <string>
#include <string_view>

namespace liftweir {

// An endpoint may fail in the middle of an event. The incomplete part must not reach the caller,
// since another endpoint resumes the stream after the last complete event.
class EventSplitter {
  public:
    void feed(std::string_view bytes) { pending_.append(bytes); }
    // True if an event exceeds the size limit; nothing that follows it can be parsed.
    bool overflowed() const { return pending_.size() > MaxEventBytes; }
    // The next complete event with its closing blank line; empty if there is none.
    std::string next();
    // The bytes after the last complete event.
    const std::string& remaining() const { return pending_; }
    // True if those bytes hold anything but blank lines and comments: a stream that ends here was
    // broken off.
    bool inside_event() const;

  private:
    // Bounds the memory for a stream without blank lines; events normally hold a few tokens.
    static constexpr std::size_t MaxEventBytes = 1u << 20;

    std::string pending_;
    std::size_t searched_ = 0;
};

// Value of an event's last id field; empty if it has none.
std::string_view id_of_event(std::string_view event);
// False for comments and fields that a client does not report as an event.
bool has_data(std::string_view event);

} // namespace liftweir

#endif // EVENTSPLITTER_H_INCLUDED
