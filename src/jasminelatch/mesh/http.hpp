#ifndef JASMINELATCH_MESH_HTTP_HPP
#define JASMINELATCH_MESH_HTTP_HPP

#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief One header field; a name may occur more than once. */
struct Field {
    std::string name; /*!< Name as received. */
    std::string value; /*!< Value without surrounding spaces. */
};

/*! @brief Whole request. */
struct Request {
    std::string method; /*!< Method. */
    std::string target; /*!< Path and query, byte for byte. */
    std::vector<Field> fields; /*!< Fields in the order received. */
    std::string body; /*!< Body without its framing. */
};

/*! @brief Whole answer. */
struct Answer {
    unsigned status{}; /*!< Status code. */
    std::string reason; /*!< Reason phrase; may be empty. */
    std::vector<Field> fields; /*!< Fields in the order received. */
    std::string body; /*!< Body without its framing. */
};

/**
 * @brief Compares field names without regard to case.
 * @param left One name.
 * @param right The other.
 * @return Whether they are the same.
 */
[[nodiscard]] auto sameName(std::string_view left, std::string_view right) -> bool;

/**
 * @brief Finds the first field of a name.
 * @param fields The fields.
 * @param name Name to look for.
 * @return Its value, or null.
 */
[[nodiscard]] auto findField(const std::vector<Field> &fields, std::string_view name) -> const std::string *;

/**
 * @brief Removes the fields of one connection: the standard ones and those that `Connection` lists.
 * @param fields The fields.
 */
auto removeHopByHopFields(std::vector<Field> &fields) -> void;

/**
 * @brief Removes every field of a name.
 * @param fields The fields.
 * @param name Name to remove.
 */
auto removeField(std::vector<Field> &fields, std::string_view name) -> void;

} // namespace jasminelatch::mesh

#endif
