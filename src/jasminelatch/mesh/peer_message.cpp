#include "peer_message.hpp"

#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace jasminelatch::mesh {

namespace internal {

using Json = nlohmann::json;

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t prefixBytes = 2 * lengthBytes;

enum class Kind : std::uint8_t { Request, Reply, Cancel, Report, ReportAck, Probe, Configuration, Withdraw };

/*! @brief Frame before serialization: CBOR head and raw body. */
struct Frame {
    Json head;
    std::string_view body;
};

/*! @brief Length of a head up to which its nesting cannot exhaust the stack. */
constexpr std::size_t maxUncheckedHeadBytes = 4096;
/*! @brief Deepest nesting in a head; no message needs more than a few levels. */
constexpr std::size_t maxDepth = 16;

/*! @brief Stops the parser, which recurses, at the first value that is nested too deeply. */
class DepthLimit: public Json::json_sax_t
{
public:
    auto null() -> bool override { return true; }
    auto boolean(bool) -> bool override { return true; }
    auto number_integer(number_integer_t) -> bool override { return true; }
    auto number_unsigned(number_unsigned_t) -> bool override { return true; }
    auto number_float(number_float_t, const string_t &) -> bool override { return true; }
    auto string(string_t &) -> bool override { return true; }
    auto binary(binary_t &) -> bool override { return true; }
    auto key(string_t &) -> bool override { return true; }
    auto start_object(std::size_t) -> bool override { return ++depth_ <= maxDepth; }
    auto start_array(std::size_t) -> bool override { return ++depth_ <= maxDepth; }
    auto end_object() -> bool override { return --depth_ <= maxDepth; }
    auto end_array() -> bool override { return --depth_ <= maxDepth; }
    auto parse_error(std::size_t, const std::string &, const Json::exception &) -> bool override { return false; }

private:
    std::size_t depth_{};
};

auto isTooDeep(const std::string_view head) -> bool
{
    DepthLimit limit;
    return head.size() > maxUncheckedHeadBytes && !Json::sax_parse(head, &limit, Json::input_format_t::cbor);
}

auto encodeFields(const std::vector<Field> &fields) -> Json
{
    auto json = Json::array();
    for (const auto &field : fields) {
        json.push_back(field.name);
        json.push_back(field.value);
    }
    return json;
}

auto decodeFields(const Json &json) -> std::vector<Field>
{
    std::vector<Field> fields;
    fields.reserve(json.size() / 2);
    for (std::size_t index = 0; index + 1 < json.size(); index += 2) {
        fields.push_back({json.at(index).get<std::string>(), json.at(index + 1).get<std::string>()});
    }
    return fields;
}

auto encodeLoad(const InstanceLoad &load) -> Json
{
    return Json::array({load.running, load.queued, load.limit, load.runTime.count()});
}

auto decodeLoad(const Json &json) -> InstanceLoad
{
    return {json.at(0).get<std::uint32_t>(),
            json.at(1).get<std::uint32_t>(),
            json.at(2).get<std::uint32_t>(),
            Duration{json.at(3).get<Duration::rep>()}};
}

auto encodeProfiles(const std::vector<RouteProfile> &profiles) -> Json
{
    auto json = Json::array();
    for (const auto &profile : profiles) {
        json.push_back(Json::array({profile.route, profile.runs, profile.runTime.count(), profile.calls}));
    }
    return json;
}

auto decodeProfiles(const Json &json) -> std::vector<RouteProfile>
{
    std::vector<RouteProfile> profiles;
    for (const auto &row : json) {
        profiles.push_back({row.at(0).get<std::string>(),
                            row.at(1).get<double>(),
                            Duration{row.at(2).get<Duration::rep>()},
                            row.at(3).get<std::map<std::string, double>>()});
    }
    return profiles;
}

auto encode(const RequestMessage &message, const TimePoint now) -> Frame
{
    const auto &request = message.request;
    return {Json::array({Kind::Request,
                         message.exchange,
                         request.attemptId,
                         request.service,
                         request.instanceId,
                         request.route,
                         request.caller,
                         request.account,
                         request.rank,
                         request.idempotent,
                         (request.deadline - now).count(),
                         request.waitLimit.count(),
                         request.request.method,
                         request.request.target,
                         encodeFields(request.request.fields),
                         request.fingerprint,
                         request.crashes}),
            request.request.body.text()};
}

auto encode(const ReplyMessage &message, TimePoint) -> Frame
{
    const auto &reply = message.reply;
    return {Json::array({Kind::Reply,
                         message.exchange,
                         reply.outcome,
                         reply.reason,
                         reply.reached,
                         reply.retryAfter.count(),
                         encodeLoad(reply.load),
                         reply.answer.status,
                         reply.answer.reason,
                         encodeFields(reply.answer.fields),
                         reply.crash}),
            reply.answer.body.text()};
}

auto encode(const CancelMessage &message, TimePoint) -> Frame
{
    return {Json::array({Kind::Cancel, message.exchange}), {}};
}

auto encode(const WithdrawMessage &message, TimePoint) -> Frame
{
    return {Json::array({Kind::Withdraw, message.exchange}), {}};
}

auto encodeMembers(const std::vector<Member> &members) -> Json
{
    auto json = Json::array();
    for (const auto &member : members) {
        json.push_back(encodeMember(member));
    }
    return json;
}

auto decodeMembers(const Json &json) -> std::vector<Member>
{
    std::vector<Member> members;
    for (const auto &text : json) {
        if (auto member = decodeMember(text.get<std::string>())) {
            members.push_back(std::move(*member));
        }
    }
    return members;
}

auto encodeInstances(const std::vector<InstanceStatus> &instances) -> Json
{
    auto json = Json::array();
    for (const auto &status : instances) {
        json.push_back(Json::array({status.name,
                                    status.incarnation,
                                    status.session,
                                    status.instanceId,
                                    status.accepting,
                                    status.isReporting,
                                    encodeLoad(status.load)}));
    }
    return json;
}

auto decodeInstances(const Json &json) -> std::vector<InstanceStatus>
{
    std::vector<InstanceStatus> instances;
    instances.reserve(json.size());
    for (const auto &row : json) {
        instances.push_back({row.at(0).get<std::string>(),
                             row.at(1).get<std::uint64_t>(),
                             row.at(2).get<std::uint64_t>(),
                             row.at(3).get<std::string>(),
                             row.at(4).get<bool>(),
                             row.at(5).get<bool>(),
                             decodeLoad(row.at(6))});
    }
    return instances;
}

auto encodeCrashes(const std::vector<CrashRecord> &records) -> Json
{
    auto json = Json::array();
    for (const auto &record : records) {
        json.push_back(Json::array({record.fingerprint, record.crashes, record.survived, record.age.count()}));
    }
    return json;
}

auto decodeCrashes(const Json &json) -> std::vector<CrashRecord>
{
    std::vector<CrashRecord> records;
    for (const auto &row : json) {
        records.push_back({row.at(0).get<Fingerprint>(),
                           row.at(1).get<std::vector<CrashId>>(),
                           row.at(2).get<std::vector<CrashId>>(),
                           Duration{row.at(3).get<Duration::rep>()}});
    }
    return records;
}

auto encodeEvacuation(const Evacuation &evacuation) -> Json
{
    return Json::array({evacuation.era, evacuation.revision, evacuation.domains});
}

auto decodeEvacuation(const Json &json) -> Evacuation
{
    return {json.at(0).get<std::uint64_t>(), json.at(1).get<std::uint64_t>(), json.at(2).get<std::set<std::string>>()};
}

auto encode(const ReportMessage &message, TimePoint) -> Frame
{
    const auto &report = message.report;
    Frame frame{Json::array({Kind::Report,
                             report.name,
                             report.incarnation,
                             report.instanceId,
                             report.accepting,
                             encodeLoad(report.load),
                             report.admitted,
                             report.offered,
                             encodeProfiles(report.profiles),
                             report.member ? encodeMember(*report.member) : std::string{},
                             report.kind,
                             report.session,
                             report.isFull,
                             report.nodes,
                             report.configurationRevision,
                             encodeInstances(report.instances),
                             encodeMembers(report.members),
                             report.configurationVersion.value_or(0),
                             encodeCrashes(report.crashes)}),
                {}};
    if (report.evacuation) {
        frame.head.push_back(encodeEvacuation(*report.evacuation));
    }
    return frame;
}

auto encode(const ProbeMessage &, TimePoint) -> Frame
{
    return {Json::array({Kind::Probe}), {}};
}

auto encode(const ConfigurationMessage &message, TimePoint) -> Frame
{
    return {Json::array({Kind::Configuration, message.revision}), message.text};
}

auto encode(const ReportAck &message, TimePoint) -> Frame
{
    auto head = Json::array({Kind::ReportAck});
    if (message.age) {
        head.push_back(message.revision);
        head.push_back(message.age->count());
        if (message.version) {
            head.push_back(*message.version);
            head.push_back(message.era);
        }
    }
    return {std::move(head), {}};
}

auto decodeRequest(const Json &json, const TimePoint now) -> RequestMessage
{
    RequestMessage message;
    auto &request = message.request;
    message.exchange = json.at(1).get<std::uint64_t>();
    request.attemptId = json.at(2).get<std::string>();
    request.service = json.at(3).get<std::string>();
    request.instanceId = json.at(4).get<std::string>();
    request.route = json.at(5).get<std::string>();
    request.caller = json.at(6).get<std::string>();
    request.account = json.at(7).get<std::string>();
    request.rank = json.at(8).get<std::uint32_t>();
    request.idempotent = json.at(9).get<bool>();
    request.deadline = now + Duration{json.at(10).get<Duration::rep>()};
    request.waitLimit = Duration{json.at(11).get<Duration::rep>()};
    request.request = {json.at(12).get<std::string>(), json.at(13).get<std::string>(), decodeFields(json.at(14)), {}};
    // Earlier builds send no fingerprint and no crashes.
    constexpr std::size_t sizeWithCrashes = 17;
    if (json.size() >= sizeWithCrashes) {
        request.fingerprint = json.at(15).get<Fingerprint>();
        request.crashes = json.at(16).get<std::vector<CrashId>>();
    }
    return message;
}

auto decodeReply(const Json &json) -> ReplyMessage
{
    ReplyMessage message;
    auto &reply = message.reply;
    message.exchange = json.at(1).get<std::uint64_t>();
    reply.outcome = json.at(2).get<HopOutcome>();
    reply.reason = json.at(3).get<HopReason>();
    reply.reached = json.at(4).get<bool>();
    reply.retryAfter = Duration{json.at(5).get<Duration::rep>()};
    reply.load = decodeLoad(json.at(6));
    // Earlier builds send no crash.
    constexpr std::size_t sizeWithCrash = 11;
    reply.crash = json.size() >= sizeWithCrash ? json.at(10).get<CrashId>() : CrashId{};
    reply.answer = {json.at(7).get<unsigned>(), json.at(8).get<std::string>(), decodeFields(json.at(9)), {}};
    if (reply.outcome == HopOutcome::Answered && !isFinalStatus(reply.answer.status)) {
        // Earlier builds pass on whatever status an instance sends.
        reply.outcome = HopOutcome::Unknown;
        reply.reason = HopReason::BadAnswer;
        reply.reached = true;
        reply.answer = {};
    }
    return message;
}

auto decodeKind(const Json &json) -> ReportKind
{
    const auto kind = json.get<ReportKind>();
    if (kind > ReportKind::Digest) {
        throw Json::out_of_range::create(0, "unknown report kind", &json);
    }
    return kind;
}

auto decodeReport(const Json &json) -> ReportMessage
{
    // Earlier builds send no version of the configuration, no crashes and no evacuations.
    constexpr std::size_t reportSizeBeforeVersion = 17;
    constexpr std::size_t reportSizeBeforeCrashes = 18;
    constexpr std::size_t reportSizeBeforeEvacuation = 19;
    const auto member = json.at(9).get<std::string>();
    return {{json.at(1).get<std::string>(),
             json.at(2).get<std::uint64_t>(),
             json.at(3).get<std::string>(),
             json.at(4).get<bool>(),
             decodeLoad(json.at(5)),
             json.at(6).get<std::map<std::string, std::uint64_t>>(),
             json.at(7).get<std::map<std::string, std::uint64_t>>(),
             decodeProfiles(json.at(8)),
             member.empty() ? std::nullopt : decodeMember(member),
             decodeKind(json.at(10)),
             json.at(11).get<std::uint64_t>(),
             json.at(12).get<bool>(),
             json.at(13).get<std::uint32_t>(),
             json.at(14).get<std::uint64_t>(),
             decodeInstances(json.at(15)),
             decodeMembers(json.at(16)),
             json.size() > reportSizeBeforeVersion ? std::optional{json.at(17).get<std::uint64_t>()} : std::nullopt,
             json.size() > reportSizeBeforeCrashes ? decodeCrashes(json.at(18)) : std::vector<CrashRecord>{},
             json.size() > reportSizeBeforeEvacuation ? std::optional{decodeEvacuation(json.at(19))} : std::nullopt}};
}

auto decodeReportAck(const Json &json) -> ReportAck
{
    constexpr std::size_t sizeWithConfirmation = 3;
    if (json.size() < sizeWithConfirmation) {
        return {};
    }
    ReportAck ack{json.at(1).get<std::uint64_t>(), Duration{json.at(2).get<std::uint64_t>()}, {}, {}};
    if (json.size() > sizeWithConfirmation) {
        ack.version = json.at(3).get<std::uint64_t>();
        ack.era = json.at(4).get<std::uint64_t>();
    }
    return ack;
}

auto decode(const std::string_view head, const TimePoint now) -> std::optional<PeerMessage>
{
    if (isTooDeep(head)) {
        return std::nullopt;
    }
    try {
        const auto json = Json::from_cbor(head);
        switch (json.at(0).get<Kind>()) {
        case Kind::Request:
            return decodeRequest(json, now);
        case Kind::Reply:
            return decodeReply(json);
        case Kind::Cancel:
            return CancelMessage{json.at(1).get<std::uint64_t>()};
        case Kind::Report:
            return decodeReport(json);
        case Kind::ReportAck:
            return decodeReportAck(json);
        case Kind::Probe:
            return ProbeMessage{};
        case Kind::Configuration:
            return ConfigurationMessage{json.at(1).get<std::uint64_t>(), {}};
        case Kind::Withdraw:
            return WithdrawMessage{json.at(1).get<std::uint64_t>()};
        }
    } catch (const Json::exception &) {
        return std::nullopt;
    }
    return std::nullopt;
}

auto readLength(const char *bytes) -> std::size_t
{
    return boost::endian::load_big_u32(reinterpret_cast<const unsigned char *>(bytes));
}

auto appendLength(std::string &text, const std::size_t length) -> void
{
    std::array<unsigned char, lengthBytes> bytes{};
    boost::endian::store_big_u32(bytes.data(), static_cast<std::uint32_t>(length));
    text.append(bytes.begin(), bytes.end());
}

auto serialize(const PeerMessage &message, const TimePoint now, const bool withBody) -> std::string
{
    const auto parts = std::visit([&](const auto &kind) { return encode(kind, now); }, message);
    std::vector<std::uint8_t> head;
    nlohmann::json::to_cbor(parts.head, head);
    std::string frame;
    frame.reserve(prefixBytes + head.size() + (withBody ? parts.body.size() : 0));
    appendLength(frame, head.size());
    appendLength(frame, parts.body.size());
    frame.append(head.begin(), head.end());
    if (withBody) {
        frame.append(parts.body);
    }
    return frame;
}

} // namespace internal

auto encodeFrameHead(const PeerMessage &message, const TimePoint now) -> std::string
{
    return internal::serialize(message, now, false);
}

auto encodeFrame(const PeerMessage &message, const TimePoint now) -> std::string
{
    return internal::serialize(message, now, true);
}

FrameReader::FrameReader(const std::size_t maxFrame, ByteBudget *const budget, const BodyPolicy policy)
    : maxFrame_{maxFrame}
    , budget_{budget}
    , policy_{policy}
    , reservation_{budget}
{
}

auto FrameReader::feed(const std::span<const char> bytes,
                       const TimePoint now,
                       const std::function<bool(PeerMessage)> &take) -> bool
{
    std::string joined;
    std::string_view input{bytes.data(), bytes.size()};
    if (!rest_.empty()) {
        joined = std::move(rest_);
        rest_.clear();
        joined.append(input);
        input = joined;
    }
    isWaiting_ = false;
    for (;;) {
        auto step = message_ ? Step::Done : readHead(input, now);
        if (step == Step::Done) {
            step = readBody(input);
        }
        if (step == Step::Invalid) {
            return false;
        }
        if (step == Step::NeedsMore) {
            break;
        }
        const auto isUnwanted = isUnwanted_;
        auto message = takeMessage();
        if (!isUnwanted && !take(std::move(message))) {
            return true;
        }
    }
    rest_.assign(input);
    return true;
}

auto FrameReader::readHead(std::string_view &input, const TimePoint now) -> Step
{
    if (input.size() < internal::prefixBytes) {
        return Step::NeedsMore;
    }
    const auto headBytes = internal::readLength(input.data());
    const auto bodyBytes = internal::readLength(input.data() + internal::lengthBytes);
    if (headBytes > maxFrameHeadBytes || internal::prefixBytes + headBytes + bodyBytes > maxFrame_) {
        return Step::Invalid;
    }
    // Small heads are counted but not refused, so that reports pass while the budget is full.
    const auto fits = headBytes <= ByteBudget::smallBytes ? (static_cast<void>(reservation_.resize(headBytes)), true)
                                                          : reservation_.tryGrow(headBytes);
    if (!fits) {
        return Step::Invalid;
    }
    if (input.size() < internal::prefixBytes + headBytes) {
        return Step::NeedsMore;
    }
    message_ = internal::decode(input.substr(internal::prefixBytes, headBytes), now);
    if (!message_) {
        return Step::Invalid;
    }
    input.remove_prefix(internal::prefixBytes + headBytes);
    headBytes_ = headBytes;
    bodyBytes_ = bodyBytes;
    bodyLeft_ = bodyBytes;
    isSkipping_ = false;
    isUnwanted_ = false;
    return Step::Done;
}

auto FrameReader::readBody(std::string_view &input) -> Step
{
    const auto next = std::min(input.size(), bodyLeft_);
    if (bodyBytes_ > 0 && !isSkipping_ && !hasRoomForBody(next)) {
        if (policy_ == BodyPolicy::Wait && reservation_.canEverFit(headBytes_ + bodyBytes_)) {
            isWaiting_ = true;
            return Step::NeedsMore;
        }
        isSkipping_ = true;
        body_ = {};
        static_cast<void>(reservation_.resize(headBytes_));
    }
    if (!isSkipping_) {
        if (body_.empty()) {
            body_.reserve(bodyBytes_);
        }
        body_.append(input.substr(0, next));
    }
    input.remove_prefix(next);
    bodyLeft_ -= next;
    return bodyLeft_ == 0 ? Step::Done : Step::NeedsMore;
}

auto FrameReader::hasRoomForBody(const std::size_t next) -> bool
{
    // A reply reserves its whole size at once: several that wait for one another's bytes would never end.
    const auto body = policy_ == BodyPolicy::Wait ? bodyBytes_ : body_.size() + next;
    return reservation_.tryGrow(headBytes_ + body);
}

auto FrameReader::takeMessage() -> PeerMessage
{
    auto message = std::move(*message_);
    message_.reset();
    auto reservation = std::exchange(reservation_, ByteReservation{budget_});
    auto body = std::exchange(body_, {});
    if (auto *request = std::get_if<RequestMessage>(&message)) {
        request->isBodyMissing = isSkipping_;
        request->request.request.body = Body{std::move(body), std::move(reservation)};
    } else if (auto *reply = std::get_if<ReplyMessage>(&message)) {
        if (isSkipping_) {
            // The response exceeds the whole budget.
            reply->reply.outcome = HopOutcome::Unknown;
            reply->reply.reason = HopReason::BadAnswer;
        }
        // The body of an answer that is not readable goes with it.
        if (reply->reply.outcome == HopOutcome::Answered) {
            reply->reply.answer.body = Body{std::move(body), std::move(reservation)};
        }
    } else if (auto *configuration = std::get_if<ConfigurationMessage>(&message)) {
        configuration->text = std::move(body);
    }
    return message;
}

auto FrameReader::waitingMessage() const -> const PeerMessage *
{
    return isWaiting_ ? &*message_ : nullptr;
}

auto FrameReader::skipWaiting() -> void
{
    isSkipping_ = true;
    isUnwanted_ = true;
}

auto FrameReader::isWithinFrame() const -> bool
{
    return message_ || !rest_.empty();
}

} // namespace jasminelatch::mesh
