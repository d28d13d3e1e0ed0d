#ifndef JASMINELATCH_NET_HTTP_HPP
#define JASMINELATCH_NET_HTTP_HPP

#include <map>
#include <string>
#include <string_view>

namespace jasminelatch::net {

/*! @brief Orders header names without regard to the case of ASCII letters. */
struct HeaderLess {
    using is_transparent = void;

    /**
     * @brief Compares two header names.
     * @param left First name.
     * @param right Second name.
     * @return True when `left` sorts before `right`.
     */
    auto operator()(std::string_view left, std::string_view right) const noexcept -> bool;
};

/*! @brief Header fields by name; of fields that come twice the last one counts. */
using Headers = std::map<std::string, std::string, HeaderLess>;

/*! @brief HTTP request. */
struct HttpRequest {
    std::string method; /*!< Method in upper case. */
    std::string path; /*!< Path without query, starting with a slash. */
    std::map<std::string, std::string> query; /*!< Decoded query arguments. */
    Headers headers; /*!< Header fields. */
    std::string body; /*!< Whole body. */
    bool bodyTooLarge{}; /*!< The body passed the server's bound and was dropped. */
};

/*! @brief HTTP response. */
struct HttpResponse {
    int status{200}; /*!< Status code. */
    Headers headers; /*!< Header fields. */
    std::string body; /*!< Whole body. */
};

/**
 * @brief Returns a header field.
 * @param headers Header fields.
 * @param name Name in any case.
 * @return Its value, or an empty text when it is missing.
 */
[[nodiscard]] auto header(const Headers &headers, std::string_view name) -> std::string_view;

} // namespace jasminelatch::net

#endif
