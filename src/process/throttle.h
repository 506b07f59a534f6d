#ifndef THROTTLE_H_INCLUDED
#define THROTTLE_H_INCLUDED

#include "process/clock.h"

#include <algorithm>

namespace liftweir {

// Keeps repeated work to a tenth of the time, by what it took the last time: work that is cheap
// follows each cause at once, and work that has become dear takes several causes together.
class Throttle {
  public:
    // When the work may be done next, if it is asked for now.
    Time due(Time now) const { return std::max(now, rests_until_); }
    void worked(Time begun, Time ended) { rests_until_ = ended + (ended - begun) * RestsTimes; }

  private:
    static constexpr int RestsTimes = 9;

    Time rests_until_{};
};

} // namespace liftweir

#endif // THROTTLE_H_INCLUDED
