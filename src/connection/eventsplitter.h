#ifndef EVENTSPLITTER_H_INCLUDED
#define EVENTSPLITTER_H_INCLUDED

#include <cstddef>
#include <string>
#include <string_view>

namespace liftweir {

// Cuts a stream of server-sent events at the ends of events. An endpoint may stop within one; what
// was not whole must not reach a caller, since another endpoint goes on from the last whole event.
class EventSplitter {
  public:
    void feed(std::string_view bytes) { pending_.append(bytes); }
    // An event is larger than any that is meant; nothing after it can be told apart.
    bool overflowed() const { return pending_.size() > MaxEventBytes; }
    // The next whole event with its closing blank line; empty where there is none.
    std::string next();
    // What is left after the last whole event.
    const std::string& rest() const { return pending_; }

  private:
    // A stream without a blank line must not fill the memory; events hold a few tokens.
    static constexpr std::size_t MaxEventBytes = 1u << 20;

    std::string pending_;
    std::size_t searched_ = 0;
};

// Value of an event's id field; empty where it has none.
std::string_view id_of_event(std::string_view event);

} // namespace liftweir

#endif // EVENTSPLITTER_H_INCLUDED
