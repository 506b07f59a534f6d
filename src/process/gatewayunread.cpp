// Run by liftweir-site-entry: ends answers that their callers do not read, which would otherwise
// take its memory and that of endpoints.

#include "process/gateway.h"
#include "process/logging.h"
#include "process/metrics.h"

#include <algorithm>
#include <map>

namespace liftweir {

namespace {

// How often held answers are measured while they are few; each costs a system call.
constexpr Duration UnreadInterval = std::chrono::milliseconds(250);

} // namespace

void Gateway::end_unread(Time now) {
    const bool much = std::max(callers_->held_bytes(), unread_.bytes()) > unread_.max_bytes() / 2;
    if (now < unread_due_ && !much)
        return;
    unread_due_ = now + UnreadInterval;
    std::map<ConnectionId, UnreadAnswer> answers;
    for (const HeldResponse& held : callers_->held_responses())
        answers[held.connection] = {held.connection, held.bytes, held.acknowledged, false};
    if (!answers.empty())
        for (const auto& call : calls_)
            if (call->endpoint_waits() && answers.contains(call->connection()))
                answers[call->connection()].endpoint_waits = true;
    std::vector<UnreadAnswer> measured;
    measured.reserve(answers.size());
    for (const auto& [connection, answer] : answers)
        measured.push_back(answer);
    for (const EndedAnswer& ended : unread_.measure(measured, now))
        end_unread(ended);
}

// The call may have ended before, with the last bytes of its answer unread.
void Gateway::end_unread(const EndedAnswer& ended) {
    const std::string reason(name_of(ended.reason));
    Metrics::instance().counter("liftweir_unread_ended", "reason=\"" + reason + "\"").add();
    const std::string request = callers_->reset(ended.id);
    log(LogLevel::Info, "caller does not read",
        {{"request", request},
         {"reason", reason},
         {"bytes", std::to_string(ended.bytes)},
         {"unread_ms", std::to_string(to_millis(ended.unread))}});
    for (const auto& call : calls_)
        if (!call->done() && call->connection() == ended.id)
            call->end_unread();
}

} // namespace liftweir
