// Bounds the memory that messages of the same kind take on all connections of a process.

#ifndef MEMORYBUDGET_H_INCLUDED
#define MEMORYBUDGET_H_INCLUDED

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace liftweir {

// One message may hold no more than what is left for all others (dynamic thresholds, Choudhury and
// Hahne 1998). However many endless messages there are, they leave as much to the next one as each
// of them holds, so that short messages still find room.
class MemoryBudget {
  public:
    explicit MemoryBudget(std::size_t limit) : limit_(limit) {}

    // A message that held `before` bytes holds `after` bytes now.
    void change(std::size_t before, std::size_t after) { held_ = held_ + after - before; }
    // Whether a message that holds this many bytes may keep them.
    bool allows(std::size_t bytes) const { return bytes <= limit_ - std::min(limit_, held_); }
    // Whether a message that holds `before` bytes may hold `after` bytes.
    bool allows_change(std::size_t before, std::size_t after) const {
        const std::size_t held = held_ + after - before;
        return after <= limit_ - std::min(limit_, held);
    }
    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }
    void set_limit(std::size_t limit) { limit_ = limit; }

  private:
    std::size_t limit_;
    std::size_t held_ = 0;
};

// What one message holds of a budget. Gives it back when destroyed, also after the budget's owner.
class MemoryCharge {
  public:
    MemoryCharge() = default;
    explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
    MemoryCharge(MemoryCharge&& other) noexcept
        : budget_(std::move(other.budget_)), bytes_(std::exchange(other.bytes_, 0)) {}
    MemoryCharge& operator=(MemoryCharge&& other) noexcept {
        set(0);
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
        return *this;
    }
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;
    ~MemoryCharge() { set(0); }

    void set(std::size_t bytes) {
        if (budget_)
            budget_->change(bytes_, bytes);
        bytes_ = bytes;
    }
    std::size_t bytes() const { return bytes_; }

  private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace liftweir

#endif // MEMORYBUDGET_H_INCLUDED
