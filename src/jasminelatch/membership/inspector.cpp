#include "inspector.hpp"

#include <glog/logging.h>

#include <chrono>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::membership::internal {

constexpr Duration probeInterval = std::chrono::seconds{1};

Inspector::Inspector(const Context &context, LeaseName cell)
    : context_{&context}
    , cell_{std::move(cell)}
    , store_{context}
{
}

auto Inspector::tick(const Fleet &fleet) -> void
{
    const auto now = context_->now();
    if (!scheduled_) {
        scheduled_ = true;
        nextList_ = now + delay(fleet);
    }
    if (std::exchange(listed_, false)) {
        suspect(fleet);
    }
    probe(fleet);
    if (!busy_ && now >= nextList_) {
        list(fleet);
    }
}

auto Inspector::handleStoreFailure() -> void
{
    observations_.clear();
    suspicions_.clear();
    listed_ = false;
}

auto Inspector::handleProbeAnswer(const LeaseName &cell) -> void
{
    suspicions_.erase(cell);
    observations_.erase(cell);
}

auto Inspector::delay(const Fleet &fleet) const -> Duration
{
    const auto &cells = fleet.cells();
    const auto rank = std::distance(cells.begin(), cells.lower_bound(cell_));
    return context_->settings.inspectionInterval * (rank + 1);
}

auto Inspector::list(const Fleet &fleet) -> void
{
    busy_ = true;
    nextList_ = context_->now() + delay(fleet);
    const auto key = std::string{leasePrefix} + std::string{cellPrefix};
    store_.call({.operation = store::Operation::Watch, .key = key},
                [this](const store::Answer &answer) { handleList(answer); });
}

auto Inspector::handleList(const store::Answer &answer) -> void
{
    busy_ = false;
    if (answer.status != store::Status::Ok) {
        handleStoreFailure();
        return;
    }
    listed_ = true;
    leases_.clear();
    for (const auto &entry : answer.entries) {
        leases_[LeaseName{entry.key.substr(leasePrefix.size())}] = entry.revision;
    }
}

auto Inspector::suspect(const Fleet &fleet) -> void
{
    const auto now = context_->now();
    std::map<LeaseName, Observation> next;
    for (const auto &[cell, value] : fleet.cells()) {
        if (cell == cell_) {
            continue;
        }
        const auto lease = leases_.contains(cell) ? leases_.at(cell) : store::Revision{};
        const auto before = observations_.find(cell);
        const auto isSame = before != observations_.end() && before->second.lease == lease;
        next[cell] = isSame ? before->second : Observation{lease, now};
        if (!isSame) {
            suspicions_.erase(cell);
        } else if (now - before->second.since >= context_->settings.deadCellTimeout) {
            suspicions_.try_emplace(cell, Suspicion{now, now});
        }
    }
    observations_ = std::move(next);
}

auto Inspector::probe(const Fleet &fleet) -> void
{
    const auto now = context_->now();
    std::vector<LeaseName> dead;
    for (auto &[cell, suspicion] : suspicions_) {
        const auto position = fleet.cells().find(cell);
        if (position == fleet.cells().end() || now - suspicion.since >= context_->settings.probeTimeout) {
            dead.push_back(cell);
            continue;
        }
        if (now < suspicion.nextProbe) {
            continue;
        }
        suspicion.nextProbe = now + probeInterval;
        for (const auto &member : position->second.members) {
            context_->hooks.send(member.endpoint.node, Probe{cell});
        }
    }
    for (const auto &cell : dead) {
        remove(cell, fleet);
    }
}

auto Inspector::remove(const LeaseName &cell, const Fleet &fleet) -> void
{
    suspicions_.erase(cell);
    observations_.erase(cell);
    const auto position = fleet.cells().find(cell);
    if (position == fleet.cells().end() || position->second.revision == 0) {
        return;
    }
    LOG(INFO) << "membership: removes dead cell " << cell;
    context_->count("membership.dead_cell_removed");
    store_.call({.operation = store::Operation::Remove, .key = cell.text(), .expected = position->second.revision},
                [](const store::Answer &) {});
}

} // namespace jasminelatch::membership::internal
