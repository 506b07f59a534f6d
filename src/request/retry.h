// Budget for retries and hedges at liftweir-entry.

#ifndef RETRY_H_INCLUDED
#define RETRY_H_INCLUDED

#include <atomic>
#include <cstdint>

namespace liftweir {

// Recent successes earn retries and hedges, so that retries can never multiply the load of a system
// whose requests fail. Lock-free.
class RetryBudget {
  public:
    // A success adds this part of a retry to the budget.
    void earn(double share);
    // Takes one retry; false if none is left.
    bool take();
    double left() const;

  private:
    // In thousandths of a retry. A newly started process begins with ten retries.
    std::atomic<std::int64_t> milli_{10'000};
};

} // namespace liftweir

#endif // RETRY_H_INCLUDED
