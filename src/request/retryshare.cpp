// The share of the retry budgets that an entry host holds (liftweir-site-entry).

#include "request/retryshare.h"

namespace liftweir {

// A deposed leader may still send shares that its successor has given to others.
bool HeldRetryShare::take(const RetryShare& granted, Time asked) {
    const bool deposed = asked < until_ && granted.term < share_.term;
    if (!granted.valid() || deposed || asked < asked_)
        return false;
    share_ = granted;
    asked_ = asked;
    until_ = asked + RetryShareTime;
    return true;
}

RetryShare HeldRetryShare::at(Time now) const {
    return now < until_ ? share_ : RetryShare{0, share_.term};
}

} // namespace liftweir
