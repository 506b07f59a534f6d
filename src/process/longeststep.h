// The longest step of an event loop, to explain why it was late. Used by liftweir-site-control.

#ifndef LONGESTSTEP_H_INCLUDED
#define LONGESTSTEP_H_INCLUDED

#include "process/clock.h"

#include <compare>
#include <string_view>
#include <utility>

namespace liftweir {

// Remembers the longest of the steps since it was last read. Does no I/O.
class LongestStep {
  public:
    struct Step {
        std::string_view name; // of static storage
        Duration took{};

        auto operator<=>(const Step&) const = default;
    };

    void record(std::string_view name, Duration took) {
        if (took > longest_.took)
            longest_ = {name, took};
    }
    Step take() { return std::exchange(longest_, {}); }

    // Records the time from its construction to its destruction.
    class Scope {
      public:
        Scope(LongestStep& steps, std::string_view name)
            : steps_(steps), name_(name), began_(BootClock::now()) {}
        ~Scope() { steps_.record(name_, BootClock::now() - began_); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

      private:
        LongestStep& steps_;
        std::string_view name_;
        Time began_;
    };

  private:
    Step longest_;
};

} // namespace liftweir

#endif // LONGESTSTEP_H_INCLUDED
