#include "record_writer.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::membership::internal {

RecordWriter::RecordWriter(const Context &context, LeaseName cell, Foreign foreign)
    : context_{&context}
    , cell_{std::move(cell)}
    , foreign_{std::move(foreign)}
    , store_{context}
    , backoff_{context.settings}
    , notBefore_{context.now()}
{
}

auto RecordWriter::tick(const std::span<const MemberRecord> members, const bool urgent) -> void
{
    const auto now = context_->now();
    if (busy_ || now < notBefore_) {
        return;
    }
    if (phase_ == Phase::Unread) {
        read();
        return;
    }
    const auto &settings = context_->settings;
    const auto interval = urgent ? settings.urgentWriteInterval : settings.writeInterval;
    if (isSettled(members) || (wroteOnce_ && now < lastWrite_ + interval)) {
        return;
    }
    write(members);
}

auto RecordWriter::invalidate() -> void
{
    invalid_ = busy_;
    phase_ = Phase::Unread;
}

auto RecordWriter::isSettled(const std::span<const MemberRecord> members) const -> bool
{
    return phase_ == Phase::Ready && !busy_ && written_ && std::ranges::equal(*written_, members);
}

auto RecordWriter::read() -> void
{
    busy_ = true;
    store_.call({.operation = store::Operation::Get, .key = cell_.text()},
                [this](const store::Answer &answer) { handleRead(answer); });
}

auto RecordWriter::write(const std::span<const MemberRecord> members) -> void
{
    busy_ = true;
    wroteOnce_ = true;
    lastWrite_ = context_->now();
    std::vector<MemberRecord> copy{members.begin(), members.end()};
    store::Request request{.operation = store::Operation::Remove, .key = cell_.text(), .expected = revision_};
    if (!copy.empty()) {
        const CellRecord record{context_->self, context_->incarnation, ++version_, copy};
        request.operation = store::Operation::Put;
        request.value = nlohmann::json(record).dump();
    }
    store_.call(std::move(request),
                [this, copy = std::move(copy)](const store::Answer &answer) { handleWrite(answer, copy); });
}

auto RecordWriter::handleRead(const store::Answer &answer) -> void
{
    busy_ = false;
    if (std::exchange(invalid_, false)) {
        return;
    }
    if (answer.status == store::Status::Unknown) {
        retryLater();
        return;
    }
    acceptPresent(answer);
}

auto RecordWriter::handleWrite(const store::Answer &answer, const std::vector<MemberRecord> &members) -> void
{
    busy_ = false;
    if (answer.status == store::Status::Unknown) {
        context_->count("membership.write_unanswered");
        phase_ = Phase::Unread;
        invalid_ = false;
        retryLater();
        return;
    }
    if (std::exchange(invalid_, false)) {
        return;
    }
    if (answer.status == store::Status::Conflict) {
        context_->count("membership.write_conflict");
        acceptPresent(answer);
        return;
    }
    backoff_.reset();
    revision_ = answer.entries.empty() ? 0 : answer.entries.front().revision;
    written_ = members;
}

auto RecordWriter::acceptPresent(const store::Answer &answer) -> void
{
    backoff_.reset();
    phase_ = Phase::Ready;
    loaded_ = true;
    revision_ = 0;
    written_ = std::vector<MemberRecord>{};
    if (answer.entries.empty()) {
        return;
    }
    revision_ = answer.entries.front().revision;
    auto record = parseCellRecord(answer.entries.front().value);
    if (!record) {
        context_->count("membership.record_unreadable");
        written_.reset();
        return;
    }
    if (record->holder == context_->self && record->incarnation == context_->incarnation) {
        written_ = std::move(record->members);
        return;
    }
    written_.reset();
    foreign_(*record);
}

auto RecordWriter::retryLater() -> void
{
    notBefore_ = context_->now() + backoff_.take();
}

} // namespace jasminelatch::membership::internal
