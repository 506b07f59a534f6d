#include "process/limitallocator.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace liftweir {

namespace {

// A leader that was cut off may lend until it notices.
constexpr Duration TakeoverMargin = std::chrono::seconds(1);
constexpr double RateSmoothing = 0.2;
// An entry host without callers may get some at any moment.
constexpr double LeastCallsPerSecond = 0.05;
// Splits follow the callers no faster than this: a part that moves is unused until its loan ends.
constexpr Duration SplitKept = std::chrono::seconds(4);

// Whoever has a part keeps it, unless another entry host has so many times its callers.
constexpr double HoldersFirst = 4;
// Parts change only where one is off by this much of itself.
constexpr double PartTolerance = 0.3;

// In (0, 1], and the same for a pair at each leader.
double draw_of(const EndpointId& endpoint, const std::string& entry) {
    const std::size_t hash = std::hash<std::string>()(text_of(endpoint) + "/" + entry);
    constexpr std::size_t Steps = 1u << 20;
    return static_cast<double>(hash % Steps + 1) / Steps;
}

// Callers come and go all the time; parts move where their number about doubles.
double rounded(double calls_per_second) {
    return std::exp2(std::round(std::log2(calls_per_second)));
}

} // namespace

void LimitAllocator::take_over(Time now) {
    entries_.clear();
    loans_.clear();
    splits_.clear();
    lends_from_ = now + LimitShareTime + TakeoverMargin;
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
    // Questions that follow each other at once tell nothing of a rate.
    constexpr double LeastSeconds = 0.3;
    if (seconds < LeastSeconds)
        return;
    const double rate = static_cast<double>(calls - known.calls) / seconds;
    known.per_second += RateSmoothing * (rate - known.per_second);
    known.calls = calls;
    known.seen = now;
}

// By weighted rendezvous: of several limits, each goes to other entry hosts, and rather to those
// with many callers. A limit that gives each of them too little is split between fewer.
LimitAllocator::Parts LimitAllocator::make_split(const LimitReport& limit,
                                                 const Parts& before) const {
    struct Ranked {
        double score;
        double weight;
        std::string name;
    };
    std::vector<Ranked> ranked;
    for (const auto& [name, entry] : entries_) {
        const double weight = rounded(std::max(entry.per_second, LeastCallsPerSecond));
        const double first = before.contains(name) ? HoldersFirst : 1;
        const double score = -std::log(draw_of(limit.endpoint, name)) / (first * weight);
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
        return least / sum * limit.per_second >= LeastSharePerSecond;
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

LimitAllocator::Parts LimitAllocator::settled(Parts parts, const Parts& before) {
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
        kept = {limit.per_second, now, settled(make_split(limit, kept.parts), kept.parts)};
    return kept.parts;
}

double LimitAllocator::lent_to_others(const Loans& limit_shares, const std::string& entry,
                                      Time now) {
    double sum = 0;
    for (const auto& [name, lent] : limit_shares) {
        if (name == entry)
            continue;
        double most = 0;
        for (const Loan& limit_share : lent)
            if (limit_share.until > now)
                most = std::max(most, limit_share.part);
        sum += most;
    }
    return sum;
}

// A smaller part counts once the larger one before it has ended: the message may be lost.
std::optional<std::vector<LimitShare>>
LimitAllocator::grant_shares(const std::string& entry, const ReportedLimits& limits, Time now) {
    if (now < lends_from_)
        return {};
    std::vector<LimitShare> out;
    for (const LimitReport& limit : limits.reports(now)) {
        if (limit.per_second <= 0)
            continue;
        Loans& limit_shares = loans_[limit.endpoint];
        const Parts& parts = split(limit, now);
        const auto wanted = parts.find(entry);
        const double left = 1 - lent_to_others(limit_shares, entry, now);
        double part = wanted == parts.end() ? 0 : std::min(wanted->second, left);
        if (part * limit.per_second < LeastSharePerSecond / 2 && part < 1)
            part = 0;
        if (part > 0)
            limit_shares[entry].push_back({part, now + LimitShareTime});
        out.push_back({limit.endpoint, part});
    }
    return out;
}

void LimitAllocator::expire(Time now) {
    std::erase_if(entries_,
                  [&](const auto& item) { return now - item.second.seen > LimitShareTime; });
    for (auto& [endpoint, limit_shares] : loans_) {
        for (auto& [entry, lent] : limit_shares)
            std::erase_if(lent, [&](const Loan& limit_share) { return limit_share.until <= now; });
        std::erase_if(limit_shares, [](const auto& item) { return item.second.empty(); });
    }
    std::erase_if(loans_, [](const auto& item) { return item.second.empty(); });
    std::erase_if(splits_,
                  [&](const auto& item) { return now - item.second.made > 2 * SplitKept; });
}

} // namespace liftweir
