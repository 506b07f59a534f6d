// Request rate towards a cold endpoint.

#include "request/coldpace.h"

namespace liftweir {

// The random start spreads the first requests: a new endpoint has no load, so all entry hosts would
// choose it for their next request at the same moment.
bool ColdPace::allows(Duration interval, double draw, Time now) {
    if (due_ == Time{})
        due_ = now + std::chrono::duration_cast<Duration>(draw * interval);
    return now >= due_;
}

} // namespace liftweir
