// Growth of request bodies.

#include "connection/requestbody.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::size_t MinCapacity = 1024;

} // namespace

// Doubles, so that bytes are copied rarely, but takes no more than the body can need.
std::size_t RequestBody::capacity_for(std::size_t size, std::size_t largest) const {
    if (size <= capacity())
        return capacity();
    return std::max(size, std::min(std::max(2 * capacity(), MinCapacity), largest));
}

// A string that grows by itself at least doubles, beyond what the body can need.
void RequestBody::grow(std::size_t capacity) {
    if (capacity <= charge_.bytes())
        return;
    std::string grown;
    grown.reserve(capacity);
    grown.append(bytes_);
    bytes_ = std::move(grown);
    charge_.set(capacity);
}

} // namespace liftweir
