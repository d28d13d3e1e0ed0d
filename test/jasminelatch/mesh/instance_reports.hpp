#ifndef JASMINELATCH_TEST_MESH_INSTANCE_REPORTS_HPP
#define JASMINELATCH_TEST_MESH_INSTANCE_REPORTS_HPP

#include <jasminelatch/mesh/instance_record.hpp>

#include <cstdint>
#include <string>

namespace jasminelatch::mesh {

/*! @brief Returns a report that names only the id and the start of an instance. */
inline auto reportOf(const std::string &id, const std::uint64_t startTimeMs) -> InstanceReport
{
    InstanceReport report;
    report.id = id;
    report.startTimeMs = startTimeMs;
    return report;
}

} // namespace jasminelatch::mesh

#endif
