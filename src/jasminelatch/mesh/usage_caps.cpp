#include "usage_caps.hpp"

#include "ewma.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Shortest retry delay for a caller whose account is over its cap. */
constexpr Duration minRetryDelay = std::chrono::milliseconds{100};

/*! @brief Report interval until `setReportInterval` is called. */
constexpr Duration defaultReportInterval = std::chrono::milliseconds{250};

/*! @brief Lower bound of the rate, in requests per second, from which retry delays are computed. */
constexpr double minRate = 0.001;

/*! @brief Overdraft, in requests, at which accrual stops if the settings allow none. */
constexpr double minOverdraft = 0.1;

auto seconds(const Duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto duration(const double seconds) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace internal

UsageCaps::UsageCaps(Settings settings)
    : settings_{settings}
{
    setReportInterval(internal::defaultReportInterval);
}

auto UsageCaps::setAccounts(const std::span<const Account> accounts, const TimePoint now) -> void
{
    refill(now);
    std::map<std::string, Bucket> buckets;
    for (const auto &account : accounts) {
        if (account.ratePerSecond <= 0) {
            continue;
        }
        const auto known = buckets_.find(account.name);
        const auto level = known == buckets_.end() ? settings_.initialFill * account.burst : known->second.level;
        auto &bucket = buckets[account.name];
        if (known != buckets_.end()) {
            bucket = known->second;
        }
        bucket.rate = account.ratePerSecond * (1.0 + settings_.rateMarginFraction) + settings_.rateMargin;
        bucket.burst = account.burst;
        bucket.level = std::min(level, account.burst);
    }
    buckets_ = std::move(buckets);
}

auto UsageCaps::setPeerCount(const std::size_t count) -> void
{
    peerCount_ = count;
}

auto UsageCaps::setReportInterval(const Duration interval) -> void
{
    staleAfter_ = internal::duration(internal::seconds(interval) * settings_.staleIntervals);
    earlyInterval_ = interval / settings_.earlyReportsPerInterval;
    rateWindow_ = interval * settings_.rateWindowIntervals;
}

auto UsageCaps::admit(const std::string &account, const TimePoint now) -> Duration
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return Duration::zero();
    }
    refill(now);
    auto &bucket = found->second;
    const auto fromPeers = expectedFromPeers(account, now);
    // The estimate alone refuses no request while it stays within the excess that the platform's terms allow.
    const auto excess =
        std::max(fromPeers.requests - reachableFraction_ * settings_.overdraft * settings_.headroomFraction, 0.0);
    const auto level = bucket.level - excess;
    const auto fleetRate = bucket.localRate + fromPeers.rate;
    const auto share = shareOf(bucket, fleetRate);
    accrueShare(bucket, level, share, now);
    if (level < 1.0) {
        bucket.fairShareUntil = now + settings_.fairShareHold;
    }
    if (now < bucket.fairShareUntil) {
        if (bucket.shareTokens < 1.0) {
            return retryDelay(bucket, share, now);
        }
        bucket.shareTokens -= 1.0;
        return spendToken(account, bucket);
    }
    const auto allowance = localAllowance(bucket, level + bucket.unreported, share, fleetRate);
    if (bucket.unreported + 1.0 > allowance) {
        return internal::minRetryDelay;
    }
    // The next request would be refused until the peers know of the requests admitted so far.
    wantsReport_ = wantsReport_ || bucket.unreported + 2.0 > allowance;
    return spendToken(account, bucket);
}

auto UsageCaps::spendToken(const std::string &account, Bucket &bucket) -> Duration
{
    bucket.level -= 1.0;
    bucket.unreported += 1.0;
    ++admitted_[account];
    return Duration::zero();
}

auto UsageCaps::refund(const std::string &account) -> void
{
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return;
    }
    auto &count = admitted_[account];
    if (count > 0) {
        --count;
        found->second.unreported -= 1.0;
        found->second.shareTokens += 1.0;
        found->second.level = std::min(found->second.level + 1.0, found->second.burst);
    }
}

auto UsageCaps::applyReport(const NodeReport &report, const TimePoint now) -> void
{
    const auto [found, isFirst] = peers_.try_emplace(report.name);
    auto &peer = found->second;
    const auto increments = peer.counts.update(report, report.admitted);
    if (!increments) {
        return;
    }
    const auto sinceReport = now - peer.reportedAt;
    const auto weight = ewmaWeight(sinceReport, rateWindow_);
    const auto elapsed = internal::seconds(std::max<Duration>(sinceReport, minElapsed));
    refill(now);
    peer.reportedAt = now;
    peer.nodes = report.nodes;
    for (auto &[account, rate] : peer.rates) {
        rate *= 1.0 - weight;
    }
    for (const auto &[account, count] : *increments) {
        const auto bucket = buckets_.find(account);
        // A peer that was stale until now admitted requests from its own fraction of the rate, which is not in this
        // bucket.
        if (bucket != buckets_.end() && (isFirst || sinceReport < staleAfter_)) {
            bucket->second.level = std::min(bucket->second.level - count, bucket->second.burst);
        }
        peer.rates[account] += weight * std::max(count, 0.0) / elapsed;
    }
}

auto UsageCaps::reportSent(const TimePoint now) -> void
{
    const auto weight = ewmaWeight(now - reportedAt_, rateWindow_);
    const auto elapsed = internal::seconds(std::max<Duration>(now - reportedAt_, minElapsed));
    reportedAt_ = now;
    wantsReport_ = false;
    for (auto &[name, bucket] : buckets_) {
        const auto rate = std::max(bucket.unreported, 0.0) / elapsed;
        bucket.localRate += weight * (rate - bucket.localRate);
        bucket.unreported = 0.0;
    }
}

auto UsageCaps::earlyReportAt() const -> std::optional<TimePoint>
{
    return wantsReport_ ? std::optional{reportedAt_ + earlyInterval_} : std::nullopt;
}

auto UsageCaps::removePeer(const std::string &name) -> void
{
    peers_.erase(name);
}

auto UsageCaps::level(const std::string &account) const -> double
{
    const auto found = buckets_.find(account);
    return found == buckets_.end() ? 0.0 : found->second.level;
}

auto UsageCaps::admitted() const -> const std::map<std::string, std::uint64_t> &
{
    return admitted_;
}

auto UsageCaps::reachableFraction(const TimePoint now) const -> double
{
    std::size_t reachable{};
    for (const auto &[name, peer] : peers_) {
        reachable += now - peer.reportedAt < staleAfter_ ? peer.nodes : 0;
    }
    const auto present = std::min(reachable, peerCount_);
    return static_cast<double>(present + 1) / static_cast<double>(peerCount_ + 1);
}

auto UsageCaps::shareOf(const Bucket &bucket, const double fleetRate) const -> double
{
    // A node without any usage gets a share too: every node counts as having used a little.
    const auto nodes = static_cast<double>(peerCount_ + 1);
    return (bucket.localRate + bucket.rate / nodes) / (fleetRate + bucket.rate * reachableFraction_);
}

auto UsageCaps::accrueShare(Bucket &bucket, const double level, const double share, const TimePoint now) const -> void
{
    if (now >= bucket.fairShareUntil) {
        bucket.shareTokens = 0.0;
    } else {
        // Accrual slows down while the bucket is overdrawn, until the excess is repaid.
        const auto allowed =
            std::max(reachableFraction_ * settings_.overdraft * settings_.headroomFraction, internal::minOverdraft);
        const auto repayment = std::clamp(1.0 + level / allowed, 0.0, 1.0);
        const auto time = internal::seconds(now - bucket.shareRefilledAt);
        const auto maxTokens = std::max(1.0, bucket.burst * share);
        bucket.shareTokens =
            std::min(bucket.shareTokens + bucket.rate * reachableFraction_ * share * repayment * time, maxTokens);
    }
    bucket.shareRefilledAt = now;
}

auto UsageCaps::retryDelay(Bucket &bucket, const double share, const TimePoint now) const -> Duration
{
    // Successive callers get retry times one token apart; the sequence restarts when it exceeds the maximum delay.
    const auto interval = 1.0 / std::max(bucket.rate * reachableFraction_ * share, internal::minRate);
    const auto free = now + internal::duration((1.0 - std::min(bucket.shareTokens, 1.0)) * interval);
    const auto next = std::max(free, bucket.lastRetryAt + internal::duration(interval));
    bucket.lastRetryAt = next > now + settings_.maxRetryDelay ? free : next;
    return std::clamp<Duration>(bucket.lastRetryAt - now, internal::minRetryDelay, settings_.maxRetryDelay);
}

auto UsageCaps::localAllowance(const Bucket &bucket,
                               const double level,
                               const double share,
                               const double fleetRate) const -> double
{
    const auto fullness = bucket.burst > 0.0 ? level / bucket.burst : 0.0;
    const auto usualAllowance = level * std::min(1.0, share * (1.0 + settings_.fullBucketBonus * fullness));
    // A node may also use part of the remaining tokens, provided that they suffice if the other nodes admit,
    // unreported, as much as at the onset of a surge.
    const auto surge = fleetRate * settings_.surgeFactor * 2.0 * internal::seconds(earlyInterval_);
    const auto headroom = (level + reachableFraction_ * settings_.overdraft - surge) * settings_.headroomFraction;
    return std::max(usualAllowance, headroom);
}

auto UsageCaps::expectedFromPeers(const std::string &account, const TimePoint now) const -> Expected
{
    Expected expected;
    for (const auto &[name, peer] : peers_) {
        const auto sinceReport = now - peer.reportedAt;
        const auto rate = peer.rates.find(account);
        if (sinceReport < staleAfter_ && rate != peer.rates.end()) {
            // The expected rate decays over time, because requests of a small account are mostly isolated.
            const auto decay = ewmaWeight(sinceReport, rateWindow_);
            expected.rate += rate->second * (1.0 - decay);
            expected.requests += rate->second * internal::seconds(rateWindow_) * decay;
        }
    }
    return expected;
}

auto UsageCaps::refill(const TimePoint now) -> void
{
    if (refilledAt_ == TimePoint{}) {
        refilledAt_ = now;
    }
    const auto fraction = reachableFraction(now);
    if (fraction < reachableFraction_) {
        reconcileLostPeers(fraction, now);
    }
    reachableFraction_ = fraction;
    const auto time = internal::seconds(now - refilledAt_) * fraction;
    refilledAt_ = now;
    for (auto &[name, bucket] : buckets_) {
        // The sides of a partition split the burst in the same proportion as the rate.
        bucket.level = std::min(bucket.level + bucket.rate * time, std::max(bucket.burst * fraction, 1.0));
    }
    takeSnapshot(now);
}

auto UsageCaps::takeSnapshot(const TimePoint now) -> void
{
    if (!snapshots_.empty() && now - snapshots_.back().at < settings_.snapshotInterval) {
        return;
    }
    Snapshot snapshot{now, reachableFraction_, {}, admitted_};
    for (const auto &[name, bucket] : buckets_) {
        snapshot.levels[name] = bucket.level;
    }
    snapshots_.push_back(std::move(snapshot));
    while (snapshots_.size() > 1 && now - snapshots_[1].at > staleAfter_) {
        snapshots_.pop_front();
    }
}

auto UsageCaps::reconcileLostPeers(const double fractionNow, const TimePoint now) -> void
{
    if (snapshots_.empty()) {
        return;
    }
    // The unreachable peers may have spent their share since their last reports, while this node had counted on all
    // tokens.
    const auto &snapshot = snapshots_.front();
    for (auto &[name, bucket] : buckets_) {
        const auto level = snapshot.levels.find(name);
        if (level == snapshot.levels.end()) {
            continue;
        }
        const auto before = snapshot.admitted.find(name);
        const auto present = admitted_.find(name);
        const auto admittedThen = before == snapshot.admitted.end() ? 0.0 : static_cast<double>(before->second);
        const auto admittedNow = present == admitted_.end() ? 0.0 : static_cast<double>(present->second);
        const auto ownShare = std::max(level->second, 0.0) * std::min(fractionNow / snapshot.fraction, 1.0);
        const auto refilled = bucket.rate * fractionNow * internal::seconds(now - snapshot.at);
        bucket.level = std::min(bucket.level, ownShare + refilled - (admittedNow - admittedThen));
    }
}

} // namespace jasminelatch::mesh
