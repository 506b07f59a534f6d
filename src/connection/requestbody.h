// The body of a request while it is read, and until its last owner is gone.

#ifndef REQUESTBODY_H_INCLUDED
#define REQUESTBODY_H_INCLUDED

#include "connection/memorybudget.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace liftweir {

class RequestBody {
  public:
    explicit RequestBody(std::shared_ptr<MemoryBudget> budget) : charge_(std::move(budget)) {}

    const std::string& bytes() const { return bytes_; }
    std::size_t capacity() const { return charge_.bytes(); }
    // What it holds once it is grown for this many bytes, of at most `largest`.
    std::size_t capacity_for(std::size_t size, std::size_t largest) const;
    void grow(std::size_t capacity);
    // There must be room for the bytes.
    void append(std::string_view bytes) { bytes_.append(bytes); }

  private:
    std::string bytes_;
    MemoryCharge charge_;
};

} // namespace liftweir

#endif // REQUESTBODY_H_INCLUDED
