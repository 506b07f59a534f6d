// What the groups of one model can serve, as the leading control host plans them.

#ifndef MODELSUPPLY_H_INCLUDED
#define MODELSUPPLY_H_INCLUDED

#include "process/clock.h"

#include <compare>
#include <string>

namespace liftweir {

struct ModelSupply {
    std::string service;
    std::string model;
    double groups = 0;    // open groups whose zones are in use
    bool opening = false; // a further group forms or is about to open
    Duration opens_in{};  // until it is expected to open

    auto operator<=>(const ModelSupply&) const = default;
};

} // namespace liftweir

#endif // MODELSUPPLY_H_INCLUDED
