// Log lines by which operators follow admission plans.

#ifndef ADMISSIONLOG_H_INCLUDED
#define ADMISSIONLOG_H_INCLUDED

#include "request/modeldemand.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace liftweir {

// Logs what has changed from plan to plan. Used by the leading control host for the plans that it
// makes and by entry hosts for those that they receive.
class AdmissionLog {
  public:
    // Logs the models that became overloaded, whose urgency has changed or whose part has changed
    // by a tenth since their last lines, and those that are overloaded no more. Returns the number
    // of lines.
    std::size_t note(const std::vector<AdmissionLevel>& levels);
    // Forgets the last plan without a line, since another host leads now.
    void reset() { shown_.clear(); }

  private:
    std::map<std::pair<std::string, std::string>, AdmissionLevel> shown_; // by service and model
};

} // namespace liftweir

#endif // ADMISSIONLOG_H_INCLUDED
