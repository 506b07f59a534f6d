#ifndef RETRY_H_INCLUDED
#define RETRY_H_INCLUDED

#include <atomic>
#include <cstdint>

namespace liftweir {

// Retries and hedges are paid for by recent successes, so that they can never multiply the load
// of a system that has stopped succeeding. Lock-free.
class RetryBudget {
  public:
    // A success earns this part of a retry.
    void earn(double share);
    // False where no retry is left.
    bool take();
    double left() const;

  private:
    // In thousandths of a retry. The first few are free, so that a fresh process may retry.
    std::atomic<std::int64_t> milli_{10'000};
};

} // namespace liftweir

#endif // RETRY_H_INCLUDED
