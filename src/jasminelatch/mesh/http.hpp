#ifndef JASMINELATCH_MESH_HTTP_HPP
#define JASMINELATCH_MESH_HTTP_HPP

#include "body.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Header field; a name may occur more than once. */
struct Field {
    std::string name; /*!< Name as received. */
    std::string value; /*!< Value without surrounding whitespace. */
};

/*! @brief Complete HTTP request. */
struct Request {
    std::string method; /*!< Request method, such as `GET`. */
    std::string target; /*!< Path and query, exactly as received. */
    std::vector<Field> fields; /*!< Fields in the order received. */
    Body body; /*!< Body without transfer framing. */
};

/*! @brief Complete HTTP response. */
struct Answer {
    unsigned status{}; /*!< Status code. */
    std::string reason; /*!< Reason phrase; may be empty. */
    std::vector<Field> fields; /*!< Fields in the order received. */
    Body body; /*!< Body without transfer framing. */
};

/**
 * @brief Tells whether a status code ends a request: 200 to 599.
 * @param status Status code of a response.
 * @return False for interim statuses and for those that HTTP does not define (RFC 9110, section 15).
 */
[[nodiscard]] auto isFinalStatus(unsigned status) -> bool;

/**
 * @brief Tells whether a response with a status code is followed by the final one: 100 to 199 except 101, which says
 * that the server no longer speaks HTTP on the connection. No request of a node asks for that.
 * @param status Status code of a response.
 * @return Whether to skip the response and read the next one.
 */
[[nodiscard]] auto isInterimStatus(unsigned status) -> bool;

/**
 * @brief Compares two field names, ignoring case.
 * @param left First name.
 * @param right Second name.
 * @return Whether the names are equal.
 */
[[nodiscard]] auto sameName(std::string_view left, std::string_view right) -> bool;

/**
 * @brief Finds the first field with a name, ignoring case.
 * @param fields Header fields.
 * @param name Name to look for.
 * @return Its value, or null if there is none.
 */
[[nodiscard]] auto findField(const std::vector<Field> &fields, std::string_view name) -> const std::string *;

/**
 * @brief Removes hop-by-hop fields: the standard ones and those that `Connection` lists.
 * @param fields Header fields, to be updated.
 */
auto removeHopByHopFields(std::vector<Field> &fields) -> void;

/**
 * @brief Removes all fields with a name, ignoring case.
 * @param fields Header fields, to be updated.
 * @param name Name of the fields to remove.
 */
auto removeField(std::vector<Field> &fields, std::string_view name) -> void;

} // namespace jasminelatch::mesh

#endif
