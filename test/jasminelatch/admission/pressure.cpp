#include <jasminelatch/admission/pressure.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace jasminelatch::admission {

RC_GTEST_PROP(Pressure, KeepsItsOpennessAndTravelsAsJson, ())
{
    const auto wanted = *rc::gen::inRange(0, 401) / 100.0;
    Pressure pressure{0, 0.0, 3, 7, 11, Duration{13}};
    setOpenness(pressure, wanted);
    RC_ASSERT(std::abs(openness(pressure) - wanted) < 1e-9);
    RC_ASSERT(pressure.level <= record::leastImportant);
    RC_ASSERT(nlohmann::json::from_cbor(nlohmann::json::to_cbor(nlohmann::json(pressure))).get<Pressure>() == pressure);
    for (record::Importance importance = 1; importance <= record::leastImportant; ++importance) {
        RC_ASSERT(admittedShare(wanted, importance) <= admittedShare(wanted, importance - 1));
    }
}

} // namespace jasminelatch::admission
