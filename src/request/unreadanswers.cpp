// Which answers are ended because their callers do not read them.

#include "request/unreadanswers.h"

#include <algorithm>
#include <utility>

namespace liftweir {

namespace {

// A link that loses all packets for 3 s may be silent for more than 6 s: the sender doubles its
// retransmission interval, so the first retransmission that arrives comes up to as long after the
// loss as the loss lasted.
// A caller's host may announce no room before its receive buffer has been read empty, so that a
// caller slower than its buffer's size divided by this time can not be told from one that has
// stopped. This concerns only answers larger than that buffer.
constexpr Duration MaxUnreadTime = std::chrono::milliseconds(6500);
// Endpoints cut answers that are not read for some seconds, and hold memory for them until then.
// An endpoint waits only once hundreds of kilobytes are held, far more than a stream of tokens
// produces while a link is blocked for 3 s.
constexpr Duration MaxEndpointWait = std::chrono::milliseconds(4000);
// Above the bound, but below this multiple of it, answers that were read so recently are kept:
// their callers make room by themselves.
constexpr Duration RecentlyRead = std::chrono::milliseconds(1000);
constexpr std::size_t HardBoundFactor = 2;

} // namespace

std::string_view name_of(UnreadReason reason) {
    return reason == UnreadReason::Time ? "time" : "memory";
}

void UnreadAnswers::update(const std::vector<UnreadAnswer>& answers, Time now) {
    std::map<std::uint64_t, Item> items;
    bytes_ = 0;
    for (const UnreadAnswer& answer : answers) {
        const auto known = items_.find(answer.id);
        Item item = known != items_.end() ? known->second : Item{answer, now, {}};
        if (item.answer.read != answer.read)
            item.read_at = now;
        if (!answer.endpoint_waits)
            item.waiting_since = {};
        else if (item.waiting_since == Time{})
            item.waiting_since = now;
        item.answer = answer;
        bytes_ += answer.bytes;
        items.emplace(answer.id, item);
    }
    items_ = std::move(items);
}

void UnreadAnswers::end(std::uint64_t id, UnreadReason reason, Time now,
                        std::vector<EndedAnswer>& out) {
    const auto found = items_.find(id);
    const Item& item = found->second;
    out.push_back({id, reason, item.answer.bytes, now - item.read_at});
    bytes_ -= item.answer.bytes;
    items_.erase(found);
}

std::vector<EndedAnswer> UnreadAnswers::measure(const std::vector<UnreadAnswer>& answers,
                                                Time now) {
    update(answers, now);
    std::vector<EndedAnswer> out;
    std::vector<std::pair<Time, std::uint64_t>> by_age;
    for (const auto& [id, item] : std::map(items_)) {
        const bool waits = item.waiting_since != Time{};
        if (now - item.read_at >= MaxUnreadTime ||
            (waits && now - std::max(item.read_at, item.waiting_since) >= MaxEndpointWait))
            end(id, UnreadReason::Time, now, out);
        else
            by_age.emplace_back(item.read_at, id);
    }
    if (bytes_ <= max_bytes_)
        return out;
    std::sort(by_age.begin(), by_age.end());
    for (const auto& [read_at, id] : by_age) {
        const bool recent = now - read_at < RecentlyRead;
        if (bytes_ <= (recent ? HardBoundFactor * max_bytes_ : max_bytes_))
            break;
        end(id, UnreadReason::Memory, now, out);
    }
    return out;
}

} // namespace liftweir
