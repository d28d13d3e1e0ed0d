#ifndef JASMINELATCH_RECORD_READER_HPP
#define JASMINELATCH_RECORD_READER_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/finding.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::record {

/*! @brief Place of a JSON value: file and JSON pointer. */
struct Place {
    std::string file; /*!< File name; empty for input that is no file. */
    std::string pointer; /*!< JSON pointer; empty for the whole document. */
};

/**
 * @brief Range of permitted values, both ends included.
 * @tparam Value Type of the values.
 */
template<typename Value>
struct Range {
    Value least{std::numeric_limits<Value>::lowest()}; /*!< Least permitted value. */
    Value most{std::numeric_limits<Value>::max()}; /*!< Largest permitted value. */
};

/**
 * @brief Parses JSON with comments.
 * @param text The text.
 * @param file File name for findings.
 * @param findings Receives syntax errors with their line, and fields that stand twice in one object.
 * @return The document, or nothing when there were findings.
 */
[[nodiscard]] auto parseJson(std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<nlohmann::json>;

/**
 * @brief Reads the fields of one JSON object and collects what is wrong with them.
 *
 * A getter that reports a finding returns its fallback, so that reading goes on and all findings come together. The
 * object, the findings and the place's file outlive the reader.
 */
class Reader
{
public:
    /**
     * @brief Starts reading an object; anything else is a finding and reads as an empty object.
     * @param value The JSON value.
     * @param place Its place.
     * @param findings Receives findings.
     */
    Reader(const nlohmann::json &value, Place place, Findings &findings);

    /*! @brief Tells whether a field is present. */
    [[nodiscard]] auto has(std::string_view field) const -> bool;

    /*! @brief Returns a text field that must be present and not empty. */
    [[nodiscard]] auto requiredText(std::string_view field) -> std::string;
    /*! @brief Returns a text field, or the fallback when it is absent. */
    [[nodiscard]] auto text(std::string_view field, std::string fallback) -> std::string;
    /*! @brief Returns a number that must be present. */
    [[nodiscard]] auto requiredNumber(std::string_view field, Range<double> range) -> double;
    /*! @brief Returns a number, or the fallback when it is absent. */
    [[nodiscard]] auto number(std::string_view field, Range<double> range, double fallback) -> double;
    /*! @brief Returns a whole number that must be present. */
    [[nodiscard]] auto requiredInteger(std::string_view field, Range<std::int64_t> range) -> std::int64_t;
    /*! @brief Returns a whole number, or the fallback when it is absent. */
    [[nodiscard]] auto integer(std::string_view field, Range<std::int64_t> range, std::int64_t fallback)
        -> std::int64_t;
    /*! @brief Returns true or false, or the fallback when the field is absent. */
    [[nodiscard]] auto boolean(std::string_view field, bool fallback) -> bool;
    /*! @brief Returns a length of time given as a number of milliseconds, or the fallback when it is absent. */
    [[nodiscard]] auto milliseconds(std::string_view field, Range<Duration> range, Duration fallback) -> Duration;
    /*! @brief Returns a list of texts; empty when the field is absent. */
    [[nodiscard]] auto texts(std::string_view field) -> std::vector<std::string>;
    /*! @brief Returns a reader of a nested object; an absent one reads as an empty object. */
    [[nodiscard]] auto section(std::string_view field) -> Reader;
    /*! @brief Returns readers of a list of objects; empty when the field is absent. */
    [[nodiscard]] auto sections(std::string_view field) -> std::vector<Reader>;

    /**
     * @brief Reports a finding.
     * @param field Field that it is about; empty for the object itself.
     * @param reason What is wrong.
     */
    auto report(std::string_view field, std::string reason) -> void;

    /*! @brief Reports every field that no getter has asked for. */
    auto finish() -> void;

    /*! @brief Returns the place of the object. */
    [[nodiscard]] auto place() const noexcept -> const Place & { return place_; }

private:
    [[nodiscard]] auto find(std::string_view field) -> const nlohmann::json *;
    [[nodiscard]] auto required(std::string_view field) -> const nlohmann::json *;
    [[nodiscard]] auto pointerTo(std::string_view field) const -> std::string;
    [[nodiscard]] auto toNumber(const nlohmann::json &value, std::string_view field, Range<double> range)
        -> std::optional<double>;
    [[nodiscard]] auto toInteger(const nlohmann::json &value, std::string_view field, Range<std::int64_t> range)
        -> std::optional<std::int64_t>;

    const nlohmann::json *object_;
    Place place_;
    Findings *findings_;
    std::set<std::string, std::less<>> known_;
};

} // namespace jasminelatch::record

#endif
