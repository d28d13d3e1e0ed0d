#include "instance_reports.hpp"

#include <jasminelatch/mesh/start_history.hpp>

#include <gtest/gtest.h>

namespace jasminelatch::mesh {

TEST(StartHistory, TellsTheOrderOfTheFirstReportsWhateverTheTimes)
{
    StartHistory history{4};
    history.record(reportOf("i-1", 1700));
    history.record(reportOf("i-1", 1600));
    history.record(reportOf("i-2", 1650));
    history.record(reportOf("i-1", 1700));
    EXPECT_TRUE(history.precedes(reportOf("i-1", 1700), reportOf("i-1", 1600)));
    EXPECT_TRUE(history.precedes(reportOf("i-1", 1700), reportOf("i-2", 1650)));
    EXPECT_FALSE(history.precedes(reportOf("i-2", 1650), reportOf("i-1", 1700)));
    EXPECT_FALSE(history.precedes(reportOf("i-1", 1700), reportOf("i-1", 1700)));
}

TEST(StartHistory, TellsNothingOfAStartThatItDoesNotKnow)
{
    StartHistory history{2};
    EXPECT_FALSE(history.precedes(reportOf("i-1", 1700), reportOf("i-2", 1800)));
    history.record(reportOf("i-2", 1800));
    EXPECT_FALSE(history.precedes(reportOf("i-1", 1700), reportOf("i-2", 1800)));
    EXPECT_FALSE(history.precedes(reportOf("i-2", 1800), reportOf("i-1", 1700)));
    history.record(reportOf("i-3", 1900));
    history.record(reportOf("i-4", 2000));
    EXPECT_FALSE(history.precedes(reportOf("i-2", 1800), reportOf("i-4", 2000))) << "forgotten, as there are too many";
    EXPECT_TRUE(history.precedes(reportOf("i-3", 1900), reportOf("i-4", 2000)));
}

} // namespace jasminelatch::mesh
