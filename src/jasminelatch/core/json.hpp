#ifndef JASMINELATCH_CORE_JSON_HPP
#define JASMINELATCH_CORE_JSON_HPP

#include "clock.hpp"

#include <nlohmann/json.hpp>

/*! @brief Serializes durations as whole microseconds. */
template<>
struct nlohmann::adl_serializer<jasminelatch::Duration> {
    static auto to_json(json &out, const jasminelatch::Duration &value) -> void { out = value.count(); }

    static auto from_json(const json &in, jasminelatch::Duration &value) -> void
    {
        value = jasminelatch::Duration{in.get<jasminelatch::Duration::rep>()};
    }
};

#endif
