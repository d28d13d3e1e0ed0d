#include "codec.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

namespace jasminelatch::wire {

namespace internal {

constexpr auto typeField = "t";
constexpr auto bodyField = "b";

/*! @brief Reads the body as the alternative of `Variant` whose type name matches. */
template<typename Variant, std::size_t Index = 0>
auto readAlternative(const std::string_view type, const nlohmann::json &body) -> std::optional<Variant>
{
    if constexpr (Index == std::variant_size_v<Variant>) {
        return std::nullopt;
    } else {
        using Alternative = std::variant_alternative_t<Index, Variant>;
        if (type == Alternative::type) {
            return Variant{body.get<Alternative>()};
        }
        return readAlternative<Variant, Index + 1>(type, body);
    }
}

/*! @brief Reads the body as a message of the module that has the type name. */
template<std::size_t Index = 0>
auto readModule(const std::string_view type, const nlohmann::json &body) -> std::optional<Message>
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return std::nullopt;
    } else {
        using Module = std::variant_alternative_t<Index, Message>;
        if (auto message = readAlternative<Module>(type, body)) {
            return Message{std::move(*message)};
        }
        return readModule<Index + 1>(type, body);
    }
}

} // namespace internal

auto encode(const Message &message) -> Bytes
{
    const auto write = [](const auto &alternative) -> Bytes {
        using Alternative = std::decay_t<decltype(alternative)>;
        return nlohmann::json::to_cbor(
            {{internal::typeField, Alternative::type}, {internal::bodyField, nlohmann::json(alternative)}});
    };
    return std::visit([&write](const auto &module) { return std::visit(write, module); }, message);
}

auto decode(const std::span<const std::uint8_t> bytes) -> boost::leaf::result<Message>
{
    try {
        const auto json = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
        const auto &type = json.at(internal::typeField).get_ref<const std::string &>();
        if (auto message = internal::readModule(type, json.at(internal::bodyField))) {
            return std::move(*message);
        }
        return boost::leaf::new_error(DecodeError{"unknown message type " + type});
    } catch (const nlohmann::json::exception &error) {
        return boost::leaf::new_error(DecodeError{error.what()});
    }
}

} // namespace jasminelatch::wire
