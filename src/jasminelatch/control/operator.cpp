#include "operator.hpp"

#include <jasminelatch/configuration/key.hpp>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <set>
#include <utility>

namespace jasminelatch::control {

namespace leaf = boost::leaf;
using configuration::NodeStatus;
using configuration::Revision;

namespace internal {

constexpr std::string_view cellPrefix = "cell/";
constexpr std::string_view leasePrefix = "lease/";

auto toReport(const Plan &plan) -> Report
{
    Report report{"", {{"basis", plan.basis}, {"steps", nlohmann::json::array()}}, {}};
    for (const auto &step : plan.steps) {
        report.text += std::string{toString(step.action)} + " " + step.id.type + " " + step.id.name + "\n";
        report.json["steps"].push_back(
            {{"action", toString(step.action)}, {"record", step.id.type}, {"name", step.id.name}});
    }
    if (plan.steps.empty()) {
        report.text = "nothing to do at revision " + std::to_string(plan.basis) + "\n";
    }
    return report;
}

/*! @brief Collects the text of every field `node` at any depth. */
auto collectNodes(const nlohmann::json &json, std::set<NodeAddress> &found) -> void
{
    if (json.is_object() && json.contains("node") && json["node"].is_string()) {
        found.insert(json["node"].get<NodeAddress>());
    }
    for (const auto &child : json) {
        if (child.is_structured()) {
            collectNodes(child, found);
        }
    }
}

auto toLine(const NodeAddress &node, const std::optional<NodeStatus> &status) -> std::string
{
    if (!status) {
        return node.text() + " does not answer\n";
    }
    const auto *const state = status->fresh ? " fresh" : " stale";
    auto line = node.text() + " revision " + std::to_string(status->revision) + state;
    for (const auto &id : status->unreadable) {
        line += ", can't read " + id.type + " " + id.name;
    }
    return line + "\n";
}

auto toJson(const NodeAddress &node, const std::optional<NodeStatus> &status) -> nlohmann::json
{
    auto json = status ? nlohmann::json(*status) : nlohmann::json::object();
    json["address"] = node;
    json["answers"] = status.has_value();
    return json;
}

} // namespace internal

Operator::Operator(Settings settings, const Clock &clock, Hooks hooks)
    : settings_{std::move(settings)}
    , clock_{&clock}
    , hooks_{std::move(hooks)}
    , repository_{hooks_.store}
{
}

auto Operator::plan(const std::span<const record::Record> wanted, const Prune prune) const -> Result<Report>
{
    BOOST_LEAF_AUTO(view, repository_.read());
    BOOST_LEAF_AUTO(plan, planRecords(view, wanted, prune));
    return internal::toReport(plan);
}

auto Operator::apply(const std::span<const record::Record> wanted, const Prune prune) const -> Result<Report>
{
    BOOST_LEAF_AUTO(view, repository_.read());
    BOOST_LEAF_AUTO(plan, planRecords(view, wanted, prune));
    return write(plan);
}

auto Operator::withdraw(const record::Id &id) const -> Result<Report>
{
    BOOST_LEAF_AUTO(view, repository_.read());
    BOOST_LEAF_AUTO(plan, planWithdrawal(view, id));
    return write(plan);
}

auto Operator::list(const std::string &type) const -> Result<Report>
{
    BOOST_LEAF_AUTO(view, repository_.read());
    Report report{"", {{"revision", view.revision()}, {"records", nlohmann::json::array()}}, {}};
    for (const auto &document : view.documents()) {
        if (type.empty() || type == document.id.type) {
            report.text += document.id.type + " " + document.id.name + " " + document.text + "\n";
            report.json["records"].push_back(document);
        }
    }
    return report;
}

auto Operator::issueKey(const AccountName &account) const -> Result<Report>
{
    BOOST_LEAF_AUTO(view, repository_.read());
    const auto key = configuration::issueKey();
    const nlohmann::json json{
        {"schema", 1}, {"record", record::keyType}, {"name", key.id}, {"hash", key.hash}, {"account", account}};
    Findings findings;
    const auto parsed = record::parseRecord(json, {}, findings);
    if (!parsed) {
        return leaf::new_error(Failure{ExitCode::Findings, "no key was issued", std::move(findings)});
    }
    BOOST_LEAF_AUTO(plan, planRecords(view, std::span{&*parsed, 1}, Prune::No));
    BOOST_LEAF_AUTO(report, write(plan));
    report.text = key.text + "\n";
    report.json["id"] = key.id;
    report.json["key"] = key.text;
    return report;
}

auto Operator::status() const -> Result<Report>
{
    BOOST_LEAF_AUTO(view, repository_.read());
    BOOST_LEAF_AUTO(reports, askNodes());
    Report report{"revision " + std::to_string(view.revision()) + " accepted\n",
                  {{"revision", view.revision()}, {"nodes", nlohmann::json::array()}},
                  {}};
    for (const auto &[node, status] : reports) {
        report.text += internal::toLine(node, status);
        report.json["nodes"].push_back(internal::toJson(node, status));
    }
    return report;
}

auto Operator::wait(const Revision revision) const -> Result<Report>
{
    const auto deadline = clock_->now() + settings_.timeout;
    for (;;) {
        BOOST_LEAF_AUTO(reports, askNodes());
        std::string lagging;
        for (const auto &[node, status] : reports) {
            if (!status || status->revision < revision) {
                lagging += internal::toLine(node, status);
            }
        }
        if (lagging.empty() && !reports.empty()) {
            const auto text = "revision " + std::to_string(revision) + " in force at all "
                            + std::to_string(reports.size()) + " nodes\n";
            return Report{text, {{"revision", revision}, {"in_force", true}, {"nodes", reports.size()}}, {}};
        }
        if (clock_->now() >= deadline) {
            const auto reason = "revision " + std::to_string(revision) + " is not in force everywhere:\n";
            return leaf::new_error(
                Failure{ExitCode::NotInForce, reason + (reports.empty() ? "no nodes are known\n" : lagging), {}});
        }
        hooks_.sleep(settings_.pollInterval);
    }
}

auto Operator::reclaim(const LeaseName &right) const -> Result<Report>
{
    BOOST_LEAF_AUTO(entry, repository_.get(std::string{internal::leasePrefix} + right.text()));
    auto json = nlohmann::json::parse(entry.value, nullptr, false);
    if (entry.revision == 0 || !json.is_object()) {
        return leaf::new_error(Failure{ExitCode::Findings, "there is no lease of right '" + right.text() + "'", {}});
    }
    const auto before = json.dump();
    json["released"] = true;
    if (auto swapped = repository_.swap(entry, json.dump()); !swapped) {
        return swapped.error();
    }
    return Report{"released " + entry.key + ", which was " + before + "\n", {{"key", entry.key}, {"lease", json}}, {}};
}

auto Operator::write(const Plan &plan) const -> Result<Report>
{
    auto report = internal::toReport(plan);
    report.revision = plan.basis;
    for (auto &change : toChangeSets(plan)) {
        change.writeId = hooks_.writeId();
        change.author = settings_.author;
        change.note = settings_.note;
        BOOST_LEAF_AUTO(revision, repository_.write(change));
        report.revision = revision;
    }
    report.json["revision"] = *report.revision;
    if (!plan.steps.empty()) {
        report.text += "accepted as revision " + std::to_string(*report.revision) + "\n";
        // The change is accepted: a snapshot that fails now is written after a later one.
        leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(view, repository_.read());
                BOOST_LEAF_AUTO(isWritten, repository_.compact(view));
                LOG_IF(INFO, isWritten) << "control: wrote a snapshot of revision " << view.revision() << '.';
                return {};
            },
            [] {});
    }
    return report;
}

auto Operator::nodes() const -> Result<std::vector<NodeAddress>>
{
    if (!settings_.nodes.empty()) {
        return settings_.nodes;
    }
    BOOST_LEAF_AUTO(cells, repository_.list(std::string{internal::cellPrefix}));
    std::set<NodeAddress> found;
    for (const auto &cell : cells) {
        internal::collectNodes(nlohmann::json::parse(cell.value, nullptr, false), found);
    }
    return std::vector<NodeAddress>{found.begin(), found.end()};
}

auto Operator::askNodes() const -> Result<std::vector<NodeReport>>
{
    BOOST_LEAF_AUTO(addresses, nodes());
    std::vector<NodeReport> reports;
    for (const auto &address : addresses) {
        reports.push_back({address, hooks_.status(address)});
    }
    return reports;
}

auto toText(const Failure &failure, const bool asJson) -> std::string
{
    if (!asJson) {
        return jasminelatch::toText(failure.findings) + failure.reason + "\n";
    }
    nlohmann::json json{{"error", failure.reason},
                        {"exit_code", static_cast<int>(failure.code)},
                        {"findings", nlohmann::json::array()}};
    for (const auto &finding : failure.findings) {
        json["findings"].push_back({{"file", finding.file}, {"pointer", finding.pointer}, {"reason", finding.reason}});
    }
    return json.dump() + "\n";
}

} // namespace jasminelatch::control
