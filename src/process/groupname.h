#ifndef GROUPNAME_H_INCLUDED
#define GROUPNAME_H_INCLUDED

#include "version/state.h"

#include <string>

namespace liftweir {

// A group's name carries its model and epoch, so that a new leader, or an entry host, can read the
// model back from any member's report.
std::string group_name(const std::string& model, Epoch epoch, bool warm_up);
std::string model_of_group(const std::string& group);
// One host alone, joined only to have the weights in its memory.
bool names_warm_up(const std::string& group);

} // namespace liftweir

#endif // GROUPNAME_H_INCLUDED
