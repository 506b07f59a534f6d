// Counts the starts of loads within the window.

#include "process/loadbudget.h"

#include <algorithm>

namespace liftweir {

namespace {

// Share of the permitted rate that is used. An order that was not answered may start its load
// seconds later, in addition to newer ones.
constexpr double UsedShare = 0.7;

} // namespace

void LoadBudget::configure(double loads_per_second, Duration window) {
    window_ = window;
    const double seconds = std::chrono::duration<double>(window).count();
    max_loads_ =
        std::max<std::size_t>(1, static_cast<std::size_t>(loads_per_second * seconds * UsedShare));
    if (assumed_)
        starts_.assign(assumed_->by_several ? max_loads_ : max_loads_ / 2, assumed_->at);
    assumed_.reset();
}

// An earlier leader may have started loads at UsedShare of the permitted rate, and several leaders
// more than that. A restarted host may lead before it has read the operators' limits from its log,
// so the assumption is kept until then.
void LoadBudget::assume_started(bool by_several, Time now) {
    if (max_loads_ == 0)
        assumed_ = {by_several, now};
    else
        starts_.assign(by_several ? max_loads_ : max_loads_ / 2, now);
}

bool LoadBudget::allows(Time now) {
    while (!starts_.empty() && now - starts_.front() > window_)
        starts_.pop_front();
    return starts_.size() < max_loads_;
}

} // namespace liftweir
