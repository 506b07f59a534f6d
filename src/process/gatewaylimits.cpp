// The side of Gateway that keeps to the limits which endpoints name in their answers.

#include "process/gateway.h"
#include "process/logging.h"

namespace liftweir {

void Gateway::log_limit(const EndpointId& id, const char* from) const {
    log(LogLevel::Info, "endpoint limit",
        {{"endpoint", text_of(id)},
         {"per_second", std::to_string(limits_.limit(id))},
         {"from", from}});
}

void Gateway::note_limit(const EndpointId& id, const AnswerNote& note, Time sent) {
    if (note.limit_fault != NumberFault::None) {
        const std::string why(name_of(note.limit_fault));
        Metrics::instance().counter("liftweir_limits_ignored", "why=\"" + why + "\"").add();
        log(LogLevel::Warning, "endpoint limit ignored", {{"endpoint", text_of(id)}, {"why", why}});
        return;
    }
    if (limits_.heard(id, note.limit_per_second, sent))
        log_limit(id, "answer");
}

} // namespace liftweir
