// Composes and parses names of the form MODEL.EPOCH, or MODEL.wEPOCH for a warm-up group.

#include "process/groupname.h"

namespace liftweir {

namespace {

constexpr char Separator = '.';
constexpr char WarmUpMark = 'w';

} // namespace

std::string group_name(const std::string& model, Epoch epoch, bool warm_up) {
    std::string name = model + Separator;
    if (warm_up)
        name += WarmUpMark;
    return name + std::to_string(epoch);
}

std::string model_of_group(const std::string& group) {
    return group.substr(0, group.rfind(Separator));
}

bool names_warm_up(const std::string& group) {
    const auto at = group.rfind(Separator);
    return at != std::string::npos && at + 1 < group.size() && group[at + 1] == WarmUpMark;
}

} // namespace liftweir
