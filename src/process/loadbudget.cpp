#include "process/loadbudget.h"

#include <algorithm>

namespace liftweir {

namespace {

// Part of the permitted rate that is used. Orders that were not answered may begin a load seconds
// later, beside newer ones.
constexpr double UsedShare = 0.7;

} // namespace

void LoadBudget::configure(double loads_per_second, Duration window) {
    window_ = window;
    const double seconds = std::chrono::duration<double>(window).count();
    most_ =
        std::max<std::size_t>(1, static_cast<std::size_t>(loads_per_second * seconds * UsedShare));
    if (assumed_)
        begun_.assign(assumed_->by_several ? most_ : most_ / 2, assumed_->at);
    assumed_.reset();
}

// A leader before may have begun UsedShare of what is permitted, several of them more than that. A
// host that comes back may lead before it has read the operators' figures from its log.
void LoadBudget::assume_begun(bool by_several, Time now) {
    if (most_ == 0)
        assumed_ = {by_several, now};
    else
        begun_.assign(by_several ? most_ : most_ / 2, now);
}

bool LoadBudget::allows(Time now) {
    while (!begun_.empty() && now - begun_.front() > window_)
        begun_.pop_front();
    return begun_.size() < most_;
}

} // namespace liftweir
