// Composes and parses names of the form MODEL.EPOCH, MODEL.wEPOCH for a warm-up group, or
// MODEL.xEPOCH for a group across domains.

#include "process/groupname.h"

namespace liftweir {

namespace {

constexpr char Separator = '.';
constexpr char WarmUpMark = 'w';
constexpr char AcrossDomainsMark = 'x';

} // namespace

std::string group_name(const std::string& model, Epoch epoch, GroupKind kind) {
    std::string name = model + Separator;
    if (kind == GroupKind::WarmUp)
        name += WarmUpMark;
    if (kind == GroupKind::AcrossDomains)
        name += AcrossDomainsMark;
    return name + std::to_string(epoch);
}

std::string model_of_group(const std::string& group) {
    return group.substr(0, group.rfind(Separator));
}

GroupKind kind_of_group(const std::string& group) {
    const auto at = group.rfind(Separator);
    if (at == std::string::npos || at + 1 >= group.size())
        return GroupKind::Regular;
    return group[at + 1] == WarmUpMark          ? GroupKind::WarmUp
           : group[at + 1] == AcrossDomainsMark ? GroupKind::AcrossDomains
                                                : GroupKind::Regular;
}

} // namespace liftweir
