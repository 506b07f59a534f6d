// Shared parts of prompts that endpoints have answered lately.

#include "request/answeredparts.h"

#include <utility>

namespace liftweir {

namespace {

constexpr Duration GenerationTime = std::chrono::minutes(5);
// Bounds the memory at a host whose callers name ever new parts.
constexpr std::size_t GenerationSize = 4096;

} // namespace

void AnsweredParts::add(const Fingerprint& part, Time now) {
    if (now - began_ > GenerationTime || current_.size() >= GenerationSize) {
        previous_ = std::exchange(current_, {});
        began_ = now;
    }
    current_.insert(part);
}

bool AnsweredParts::contains(const Fingerprint& part) const {
    return current_.contains(part) || previous_.contains(part);
}

} // namespace liftweir
