#include "request/coldpace.h"

namespace liftweir {

// An endpoint that is new has no work, so each entry host would choose it for its next request, and
// all of them within the same moment.
bool ColdPace::allows(Duration every, double draw, Time now) {
    if (due_ == Time{})
        due_ = now + std::chrono::duration_cast<Duration>(draw * every);
    return now >= due_;
}

} // namespace liftweir
