// Numbers of serving groups.

#ifndef EPOCH_H_INCLUDED
#define EPOCH_H_INCLUDED

#include <cstdint>

namespace liftweir {

// A group's epoch is the log index of the command that formed it: unique and increasing.
using Epoch = std::uint64_t;

constexpr Epoch NoEpoch = 0;

} // namespace liftweir

#endif // EPOCH_H_INCLUDED
