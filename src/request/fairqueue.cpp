// Weighted fair queue of an agent.

#include "request/fairqueue.h"

#include <algorithm>
#include <cassert>

namespace liftweir {

namespace {

// Weight of the newest service time in the running mean.
constexpr double ServiceTimeSmoothing = 0.1;
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(100);
// Cost of an item whose length is not known.
constexpr double UnknownCost = 1;

Duration smoothed(Duration mean, Duration newest) {
    if (mean == Duration{})
        return newest;
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(mean.count()) * (1 - ServiceTimeSmoothing) +
                                   static_cast<double>(newest.count()) * ServiceTimeSmoothing));
}

} // namespace

void FairQueue::resize(std::size_t slots, std::size_t capacity) {
    slots_ = slots;
    capacity_ = capacity;
}

// Expected wait of this item: the waiting items of its own class, served with the class's share of
// the slots. Other classes count only through that share.
Duration FairQueue::expected_wait(const QueueItem& item) const {
    if (running_ < slots_)
        return {};
    double active_weight = item.class_weight;
    std::size_t ahead = 0;
    std::size_t customers_ahead = 0;
    for (const auto& [name, cls] : classes_) {
        if (name == item.traffic_class) {
            ahead = cls.waiting;
            const auto own = cls.customers.find(item.customer);
            customers_ahead = own == cls.customers.end() ? 0 : own->second.items.size();
            // A customer waits for its own items and for at most as many of each other customer.
            std::size_t fair = 0;
            for (const auto& [customer, flow] : cls.customers)
                fair += std::min(flow.items.size(), customers_ahead + 1);
            ahead = std::min(ahead, fair);
        } else if (cls.waiting > 0) {
            active_weight += cls.weight;
        }
    }
    const double share = item.class_weight / active_weight;
    const double turns = (static_cast<double>(ahead) + 1) / (static_cast<double>(slots_) * share);
    return Duration(static_cast<Duration::rep>(turns * static_cast<double>(mean_service_.count())));
}

// Expected time in a slot. Short answers must not be measured by the mean of long ones, so an item
// of known length is estimated by its length; for others half of the mean is assumed.
Duration FairQueue::expected_service(const QueueItem& item) const {
    if (item.cost <= UnknownCost || unit_service_ == Duration{})
        return mean_service_ / 2;
    return std::chrono::duration_cast<Duration>(unit_service_ * item.cost);
}

// A full queue admits an item of a more important class by evicting the newest item of the least
// important one.
std::optional<AttemptId> FairQueue::shed_for(const QueueItem& item) {
    Class* victim_class = nullptr;
    std::map<std::string, Flow>::iterator victim;
    std::uint32_t lowest = item.shed_order;
    for (auto& [name, cls] : classes_)
        for (auto flow = cls.customers.begin(); flow != cls.customers.end(); ++flow)
            if (!flow->second.items.empty() && flow->second.items.back().shed_order < lowest) {
                lowest = flow->second.items.back().shed_order;
                victim_class = &cls;
                victim = flow;
            }
    if (victim_class == nullptr)
        return std::nullopt;
    const AttemptId id = victim->second.items.back().id;
    victim->second.items.pop_back();
    --victim_class->waiting;
    --waiting_;
    return id;
}

Admission FairQueue::offer(const QueueItem& item, Time now) {
    Admission out;
    const Duration wait = expected_wait(item);
    out.retry_after = std::max(wait, ShortestRetryAfter);
    if (item.early_refusal && now + wait + expected_service(item) > item.deadline &&
        running_ >= slots_) {
        out.reason = FailureKind::DeadlineTooNear;
        return out;
    }
    if (waiting_ >= capacity_ && running_ >= slots_) {
        out.shed = shed_for(item);
        if (!out.shed) {
            out.reason = FailureKind::Overloaded;
            return out;
        }
    }
    push(item);
    out.admitted = true;
    return out;
}

void FairQueue::push(const QueueItem& item) {
    Class& cls = classes_[item.traffic_class];
    cls.weight = std::max(1u, item.class_weight);
    if (cls.waiting == 0)
        cls.finish_tag = std::max(cls.finish_tag, virtual_time_);
    Flow& flow = cls.customers[item.customer];
    if (flow.items.empty())
        flow.finish_tag = std::max(flow.finish_tag, cls.virtual_time);
    flow.items.push_back(item);
    ++cls.waiting;
    ++waiting_;
}

QueueItem FairQueue::pop(Class& cls, std::map<std::string, Flow>::iterator flow) {
    QueueItem item = std::move(flow->second.items.front());
    flow->second.items.pop_front();
    cls.virtual_time = flow->second.finish_tag;
    flow->second.finish_tag += item.cost / std::max(1u, item.customer_weight);
    virtual_time_ = cls.finish_tag;
    cls.finish_tag += item.cost / cls.weight;
    --cls.waiting;
    --waiting_;
    // The tag of a customer without items is kept only while it is ahead of the class.
    if (flow->second.items.empty() && flow->second.finish_tag <= cls.virtual_time)
        cls.customers.erase(flow);
    return item;
}

std::optional<QueueItem> FairQueue::start_next(Time now, std::vector<QueueItem>& expired) {
    while (running_ < slots_ && waiting_ > 0) {
        Class* cls = nullptr;
        for (auto& [name, candidate] : classes_)
            if (candidate.waiting > 0 && (cls == nullptr || candidate.finish_tag < cls->finish_tag))
                cls = &candidate;
        assert(cls != nullptr);
        const auto sooner = [](const auto& x, const auto& y) {
            if (x.second.items.empty() || y.second.items.empty())
                return y.second.items.empty() && !x.second.items.empty();
            return x.second.finish_tag < y.second.finish_tag;
        };
        const auto flow = std::min_element(cls->customers.begin(), cls->customers.end(), sooner);
        // An item that can not finish before its deadline would waste its slot.
        const QueueItem& front = flow->second.items.front();
        const Duration needed = front.early_refusal ? expected_service(front) : Duration{};
        if (front.deadline <= now + needed) {
            expired.push_back(std::move(flow->second.items.front()));
            flow->second.items.pop_front();
            --cls->waiting;
            --waiting_;
            continue;
        }
        ++running_;
        return pop(*cls, flow);
    }
    return std::nullopt;
}

void FairQueue::finished(Duration service_time, double cost) {
    assert(running_ > 0);
    --running_;
    mean_service_ = smoothed(mean_service_, service_time);
    if (cost > UnknownCost)
        unit_service_ =
            smoothed(unit_service_, std::chrono::duration_cast<Duration>(service_time / cost));
}

bool FairQueue::remove(const AttemptId& id) {
    for (auto& [name, cls] : classes_)
        for (auto& [customer, flow] : cls.customers) {
            const auto before = flow.items.size();
            std::erase_if(flow.items, [&](const QueueItem& item) { return item.id == id; });
            const auto removed = before - flow.items.size();
            cls.waiting -= removed;
            waiting_ -= removed;
            if (removed > 0)
                return true;
        }
    return false;
}

std::vector<QueueItem> FairQueue::take_all() {
    std::vector<QueueItem> out;
    for (auto& [name, cls] : classes_)
        for (auto& [customer, flow] : cls.customers)
            std::move(flow.items.begin(), flow.items.end(), std::back_inserter(out));
    classes_.clear();
    waiting_ = 0;
    return out;
}

} // namespace liftweir
