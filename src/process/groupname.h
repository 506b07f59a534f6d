// Names of serving groups. Used by liftweir-site-control and liftweir-site-entry.

#ifndef GROUPNAME_H_INCLUDED
#define GROUPNAME_H_INCLUDED

#include "version/state.h"

#include <cstdint>
#include <string>

namespace liftweir {

// The name of a group contains its model and epoch, so that a new leader or an entry host can parse
// the model from the report of any member.
enum class GroupKind : std::uint8_t {
    Regular,
    WarmUp,       // a single host that only loads the weights into its memory
    AcrossDomains // its members are in more than one fabric domain
};
std::string group_name(const std::string& model, Epoch epoch, GroupKind kind);
std::string model_of_group(const std::string& group);
GroupKind kind_of_group(const std::string& group);

} // namespace liftweir

#endif // GROUPNAME_H_INCLUDED
