#ifndef EVENTSPLITTER_H_INCLUDED
#define EVENTSPLITTER_H_INCLUDED

#include <string>
#include <string_view>

namespace liftweir {

// Cuts a stream of server-sent events at the ends of events. An endpoint may stop within one; what
// was not whole must not reach a caller, since another endpoint goes on from the last whole event.
class EventSplitter {
  public:
    void feed(std::string_view bytes) { pending_.append(bytes); }
    // The next whole event with its closing blank line; empty where there is none.
    std::string next();
    // What is left after the last whole event.
    const std::string& rest() const { return pending_; }

  private:
    std::string pending_;
    std::size_t searched_ = 0;
};

// Value of an event's id field; empty where it has none.
std::string_view id_of_event(std::string_view event);

} // namespace liftweir

#endif // EVENTSPLITTER_H_INCLUDED
