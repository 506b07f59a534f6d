// Remembers which shared parts of prompts endpoints have answered (liftweir-site-entry).

#ifndef ANSWEREDPARTS_H_INCLUDED
#define ANSWEREDPARTS_H_INCLUDED

#include "process/clock.h"
#include "version/fingerprint.h"

#include <set>

namespace liftweir {

// The parts of prompts that were in requests which endpoints answered within the last minutes. A
// part among them is less likely to crash endpoints than one that no endpoint has answered.
class AnsweredParts {
  public:
    void add(const Fingerprint& part, Time now);
    bool contains(const Fingerprint& part) const;

  private:
    // Parts are forgotten a generation at a time, at the earliest after one generation.
    std::set<Fingerprint> current_;
    std::set<Fingerprint> previous_;
    Time began_{}; // of the current generation
};

} // namespace liftweir

#endif // ANSWEREDPARTS_H_INCLUDED
