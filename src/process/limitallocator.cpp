// Rendezvous hashing and expiry of limit shares; runs in liftweir-site-control.

#include "process/limitallocator.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace liftweir {

namespace {

// A partitioned leader may grant shares until it steps down.
constexpr Duration TakeoverMargin = std::chrono::seconds(1);
constexpr double RateSmoothing = 0.2;
// Assumed rate of an entry host without callers, since it may get some at any moment.
constexpr double MinCallsPerSecond = 0.05;
// A split is kept for this long, because a share that moves to another entry host is unused until
// the old one expires.
constexpr Duration SplitKept = std::chrono::seconds(4);

// An entry host keeps its share unless another one has this many times its rate of calls.
constexpr double HolderPreference = 4;
// A split changes only if one share differs from the intended one by more than this fraction.
constexpr double PartTolerance = 0.3;

// A pseudo-random number in (0, 1] that every leader computes alike for the pair.
double pseudo_random_of(const EndpointId& endpoint, const std::string& entry) {
    const std::size_t hash = std::hash<std::string>()(text_of(endpoint) + "/" + entry);
    constexpr std::size_t Steps = 1u << 20;
    return static_cast<double>(hash % Steps + 1) / Steps;
}

// Rounds to a power of two: rates vary all the time, and shares move only when one about doubles.
double round_to_power_of_two(double calls_per_second) {
    return std::exp2(std::round(std::log2(calls_per_second)));
}

} // namespace

void LimitAllocator::take_over(Time now) {
    entries_.clear();
    grants_.clear();
    splits_.clear();
    grants_from_ = now + LimitShareTime + TakeoverMargin;
}

void LimitAllocator::seen(const std::string& entry, Incarnation incarnation, std::uint64_t calls,
                          Time now) {
    const auto [found, fresh] = entries_.try_emplace(entry);
    Entry& known = found->second;
    const double seconds = to_seconds(now - known.seen);
    if (fresh || known.incarnation != incarnation) {
        known = {incarnation, calls, known.per_second, now};
        return;
    }
    // Renewals in quick succession are too short an interval to measure a rate.
    constexpr double MinSeconds = 0.3;
    if (seconds < MinSeconds)
        return;
    const double rate = static_cast<double>(calls - known.calls) / seconds;
    known.per_second += RateSmoothing * (rate - known.per_second);
    known.calls = calls;
    known.seen = now;
}

// Weighted rendezvous hashing: different limits go to different entry hosts, preferably to those
// with many calls. A limit that is too small for all entry hosts is split between fewer of them.
LimitAllocator::Parts LimitAllocator::make_split(const LimitReport& limit,
                                                 const Parts& before) const {
    struct Ranked {
        double score;
        double weight;
        std::string name;
    };
    std::vector<Ranked> ranked;
    for (const auto& [name, entry] : entries_) {
        const double weight = round_to_power_of_two(std::max(entry.per_second, MinCallsPerSecond));
        const double first = before.contains(name) ? HolderPreference : 1;
        const double score = -std::log(pseudo_random_of(limit.endpoint, name)) / (first * weight);
        ranked.push_back({score, weight, name});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        return std::tie(a.score, a.name) < std::tie(b.score, b.name);
    });
    const auto splits = [&](std::size_t count) {
        double sum = 0;
        double least = ranked.front().weight;
        for (std::size_t n = 0; n < count; ++n) {
            sum += ranked[n].weight;
            least = std::min(least, ranked[n].weight);
        }
        return least / sum * limit.per_second >= MinSharePerSecond;
    };
    while (ranked.size() > 1 && !splits(ranked.size()))
        ranked.pop_back();
    double sum = 0;
    for (const Ranked& one : ranked)
        sum += one.weight;
    Parts parts;
    for (const Ranked& one : ranked)
        parts[one.name] = one.weight / sum;
    return parts;
}

LimitAllocator::Parts LimitAllocator::keep_if_similar(Parts parts, const Parts& before) {
    const auto same = [](const auto& a, const auto& b) {
        return a.first == b.first && std::abs(a.second - b.second) <= PartTolerance * b.second;
    };
    const bool keep = std::equal(parts.begin(), parts.end(), before.begin(), before.end(), same);
    return keep ? before : parts;
}

const LimitAllocator::Parts& LimitAllocator::split(const LimitReport& limit, Time now) {
    Split& kept = splits_[limit.endpoint];
    const bool complete = std::all_of(kept.parts.begin(), kept.parts.end(), [&](const auto& part) {
        return entries_.contains(part.first);
    });
    if (kept.parts.empty() || !complete || kept.per_second != limit.per_second ||
        now - kept.made > SplitKept)
        kept = {limit.per_second, now, keep_if_similar(make_split(limit, kept.parts), kept.parts)};
    return kept.parts;
}

double LimitAllocator::share_of_others(const Grants& grants, const std::string& entry, Time now) {
    double sum = 0;
    for (const auto& [name, granted] : grants) {
        if (name == entry)
            continue;
        double most = 0;
        for (const Grant& grant : granted)
            if (grant.until > now)
                most = std::max(most, grant.part);
        sum += most;
    }
    return sum;
}

// A smaller share counts only after the previous larger one has expired, since the message that
// reduces it may be lost.
std::optional<std::vector<LimitShare>>
LimitAllocator::grant_shares(const std::string& entry, const ReportedLimits& limits, Time now) {
    if (now < grants_from_)
        return {};
    std::vector<LimitShare> out;
    for (const LimitReport& limit : limits.reports(now)) {
        if (limit.per_second <= 0)
            continue;
        Grants& grants = grants_[limit.endpoint];
        const Parts& parts = split(limit, now);
        const auto wanted = parts.find(entry);
        const double left = 1 - share_of_others(grants, entry, now);
        double part = wanted == parts.end() ? 0 : std::min(wanted->second, left);
        if (part * limit.per_second < MinSharePerSecond / 2 && part < 1)
            part = 0;
        if (part > 0)
            grants[entry].push_back({part, now + LimitShareTime});
        out.push_back({limit.endpoint, part});
    }
    return out;
}

void LimitAllocator::expire(Time now) {
    std::erase_if(entries_,
                  [&](const auto& item) { return now - item.second.seen > LimitShareTime; });
    for (auto& [endpoint, grants] : grants_) {
        for (auto& [entry, granted] : grants)
            std::erase_if(granted, [&](const Grant& grant) { return grant.until <= now; });
        std::erase_if(grants, [](const auto& item) { return item.second.empty(); });
    }
    std::erase_if(grants_, [](const auto& item) { return item.second.empty(); });
    std::erase_if(splits_,
                  [&](const auto& item) { return now - item.second.made > 2 * SplitKept; });
}

} // namespace liftweir
