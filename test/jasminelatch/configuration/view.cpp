#include <jasminelatch/configuration/key.hpp>
#include <jasminelatch/configuration/view.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminelatch::configuration {

namespace internal {

auto kindDocument(const std::string &name, const std::string &path) -> record::Document
{
    const nlohmann::json json{{"schema", 1},
                              {"record", "kind"},
                              {"name", name},
                              {"service", "s"},
                              {"method", "GET"},
                              {"path", path},
                              {"importance", 0}};
    return {{"kind", name}, json.dump()};
}

auto viewWithKey(const IssuedKey &key) -> View
{
    const nlohmann::json account{{"schema", 1}, {"record", "account"}, {"name", "a"}, {"rate", 1}, {"burst", 1}};
    const nlohmann::json json{{"schema", 1}, {"record", "key"}, {"name", key.id}, {"hash", key.hash}, {"account", "a"}};
    return View{}.after(
        {.revision = 1, .upserts = {{{"account", "a"}, account.dump()}, {{"key", key.id}, json.dump()}}});
}

/*! @brief Matches by segments, for the oracle. */
auto segmentsOf(const std::string &path) -> std::vector<std::string>
{
    std::vector<std::string> segments;
    std::istringstream in{path};
    for (std::string segment; std::getline(in, segment, '/');) {
        if (!segment.empty()) {
            segments.push_back(segment);
        }
    }
    return segments;
}

auto isPrefix(const std::vector<std::string> &prefix, const std::vector<std::string> &whole) -> bool
{
    return prefix.size() <= whole.size() && std::equal(prefix.begin(), prefix.end(), whole.begin());
}

auto randomPath() -> std::string
{
    std::string path;
    const auto segments = *rc::gen::inRange(0, 4);
    for (int index = 0; index < segments; ++index) {
        path += "/" + *rc::gen::element<std::string>("a", "b", "ab");
    }
    return path.empty() ? "/" : path;
}

} // namespace internal

RC_GTEST_PROP(View, FindsTheLongestPathOfWholeSegments, ())
{
    std::set<std::string> paths;
    const auto count = *rc::gen::inRange(0, 8);
    for (int index = 0; index < count; ++index) {
        paths.insert(internal::randomPath());
    }
    ChangeSet change{.revision = 1};
    std::size_t number = 0;
    for (const auto &path : paths) {
        change.upserts.push_back(internal::kindDocument("kind-" + std::to_string(number++), path));
    }
    const auto view = View{}.after(change);
    const auto asked = internal::randomPath();
    std::string expected;
    for (const auto &path : paths) {
        const bool matches = internal::isPrefix(internal::segmentsOf(path), internal::segmentsOf(asked));
        expected = matches && path.size() > expected.size() ? path : expected;
    }
    const auto *found = view.findKind("GET", ServiceName{"s"}, asked + "?q=/a/b");
    RC_ASSERT((found == nullptr ? "" : found->path) == expected);
    RC_ASSERT(view.findKind("PUT", ServiceName{"s"}, asked) == nullptr);
    RC_ASSERT(view.findKind("GET", ServiceName{"t"}, asked) == nullptr);
}

RC_GTEST_PROP(View, AcceptsOnlyTheKeyAsIssued, (const std::string &noise))
{
    const auto key = issueKey();
    const auto view = internal::viewWithKey(key);
    RC_ASSERT(view.authenticate(key.text).state == KeyState::Ok);
    RC_ASSERT(view.authenticate(key.text).account == AccountName{"a"});
    auto changed = key.text;
    const auto place = *rc::gen::inRange<std::size_t>(0, changed.size());
    changed[place] = changed[place] == 'x' ? 'y' : 'x';
    RC_ASSERT(view.authenticate(changed).state == KeyState::Unknown);
    RC_ASSERT(view.authenticate(noise).state == KeyState::Unknown);
    RC_ASSERT(view.authenticate(key.text.substr(0, place)).state == KeyState::Unknown);
}

TEST(View, AWithdrawnKeyStaysWithdrawn)
{
    const auto key = issueKey();
    const auto first = internal::viewWithKey(key);
    const auto withdrawn = first.after({.revision = 2, .withdrawals = {{"key", key.id}}});
    EXPECT_EQ(withdrawn.authenticate(key.text).state, KeyState::Withdrawn);
    const auto again = withdrawn.after({.revision = 3, .upserts = {*first.document({"key", key.id})}});
    EXPECT_EQ(again.authenticate(key.text).state, KeyState::Withdrawn);
    const auto noAccount = first.after({.revision = 2, .withdrawals = {{"account", "a"}}});
    EXPECT_EQ(noAccount.authenticate(key.text).state, KeyState::Withdrawn);
}

RC_GTEST_PROP(View, ASnapshotInPartsIsTheSameView, ())
{
    View view;
    const auto changes = *rc::gen::inRange(0, 20);
    for (int index = 0; index < changes; ++index) {
        const auto name = std::to_string(*rc::gen::inRange(0, 6));
        ChangeSet change{.revision = view.revision() + 1};
        if (*rc::gen::arbitrary<bool>()) {
            change.upserts.push_back(internal::kindDocument(name, "/" + name));
        } else {
            change.withdrawals = {{"kind", name}, {"key", "key-" + name}};
        }
        view = view.after(change);
    }
    const auto parts = view.snapshot(*rc::gen::inRange<std::size_t>(1, 500));
    std::vector<SnapshotPart> read;
    for (const auto &part : parts) {
        read.push_back(*parseSnapshotPart(nlohmann::json(part).dump()));
    }
    const View copy{view.revision(), read};
    RC_ASSERT(copy.documents() == view.documents());
    RC_ASSERT(copy.withdrawnKeys() == view.withdrawnKeys());
    RC_ASSERT(copy.kinds().size() == view.kinds().size());
}

} // namespace jasminelatch::configuration
