#include "plan.hpp"

#include <boost/leaf/error.hpp>

#include <map>
#include <utility>

namespace jasminelatch::control {

namespace leaf = boost::leaf;
using configuration::ChangeSet;
using configuration::View;

namespace internal {

using RecordsById = std::map<record::Id, record::Record>;

/*! @brief Returns the records in force that this program can read. */
auto readableRecords(const View &view) -> RecordsById
{
    RecordsById records;
    for (const auto &document : view.documents()) {
        Findings ignored;
        const auto json = record::parseJson(document.text, "", ignored);
        auto parsed = json ? record::parseRecord(*json, {"in force", ""}, ignored) : std::nullopt;
        if (parsed) {
            parsed->place.pointer = "/" + document.id.type + "/" + document.id.name;
            records.emplace(document.id, std::move(*parsed));
        }
    }
    return records;
}

auto checkResult(const RecordsById &result, Findings &findings) -> void
{
    std::vector<record::Record> all;
    all.reserve(result.size());
    for (const auto &[id, parsed] : result) {
        all.push_back(parsed);
    }
    record::checkTogether(all, findings);
}

auto checkKeys(const View &view, const std::span<const record::Record> wanted, Findings &findings) -> void
{
    for (const auto &record : wanted) {
        if (record.id.type == record::keyType && view.isWithdrawn(record.id.name)) {
            findings.push_back({record.place.file, record.place.pointer, "this key has been withdrawn for good"});
        }
    }
}

auto prunedIds(const View &view, const RecordsById &wanted) -> std::vector<record::Id>
{
    std::vector<record::Id> ids;
    for (const auto &document : view.documents()) {
        if (document.id.type != record::keyType && !wanted.contains(document.id)) {
            ids.push_back(document.id);
        }
    }
    return ids;
}

auto fail(Findings findings) -> leaf::error_id
{
    return leaf::new_error(Failure{ExitCode::Findings, "the records don't fit together", std::move(findings)});
}

auto sizeOf(const Step &step) -> std::size_t
{
    constexpr std::size_t overhead = 64;
    return overhead + step.document.text.size();
}

} // namespace internal

auto planRecords(const View &view, const std::span<const record::Record> wanted, const Prune prune) -> Result<Plan>
{
    Findings findings;
    record::checkUnique(wanted, findings);
    internal::checkKeys(view, wanted, findings);
    Plan plan{view.revision(), {}};
    internal::RecordsById wantedById;
    auto result = internal::readableRecords(view);
    for (const auto &record : wanted) {
        wantedById.emplace(record.id, record);
        result.insert_or_assign(record.id, record);
    }
    for (const auto &[id, record] : wantedById) {
        const auto *present = view.document(id);
        if (present == nullptr || *present != record.document) {
            plan.steps.push_back({present == nullptr ? Action::Add : Action::Replace, id, record.document});
        }
    }
    if (prune == Prune::Yes) {
        for (const auto &id : internal::prunedIds(view, wantedById)) {
            result.erase(id);
            plan.steps.push_back({Action::Withdraw, id, {}});
        }
    }
    internal::checkResult(result, findings);
    if (!findings.empty()) {
        return internal::fail(std::move(findings));
    }
    return plan;
}

auto planWithdrawal(const View &view, const record::Id &id) -> Result<Plan>
{
    if (view.document(id) == nullptr) {
        return internal::fail({{"", "", "there is no " + id.type + " '" + id.name + "' in force"}});
    }
    auto result = internal::readableRecords(view);
    result.erase(id);
    Findings findings;
    internal::checkResult(result, findings);
    if (!findings.empty()) {
        return internal::fail(std::move(findings));
    }
    return Plan{view.revision(), {{Action::Withdraw, id, {}}}};
}

auto toChangeSets(const Plan &plan) -> std::vector<ChangeSet>
{
    std::vector<ChangeSet> changes;
    std::size_t size = 0;
    for (const auto &step : plan.steps) {
        size += internal::sizeOf(step);
        if (changes.empty() || size > configuration::maxPartBytes) {
            changes.push_back({.revision = plan.basis + changes.size() + 1});
            size = internal::sizeOf(step);
        }
        if (step.action == Action::Withdraw) {
            changes.back().withdrawals.push_back(step.id);
        } else {
            changes.back().upserts.push_back(step.document);
        }
    }
    return changes;
}

auto toString(const Action action) -> std::string_view
{
    switch (action) {
    case Action::Add:
        return "add";
    case Action::Replace:
        return "replace";
    case Action::Withdraw:
        break;
    }
    return "withdraw";
}

} // namespace jasminelatch::control
