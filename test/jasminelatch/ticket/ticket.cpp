#include <jasminelatch/ticket/ticket.hpp>

#include <gtest/gtest.h>

#include <random>

namespace jasminelatch::ticket {

namespace internal {

auto ticketOf(const std::string &parent) -> Ticket
{
    Ticket ticket;
    ticket.issuer = NodeAddress{"10.0.0.1:7000"};
    ticket.parent = RequestId{parent};
    ticket.root = RequestId{"root"};
    ticket.ledger = NodeAddress{"10.0.0.2:7000"};
    ticket.account = AccountName{"account"};
    ticket.importance = 2;
    ticket.depth = 3;
    ticket.deadline = TimePoint{std::chrono::hours{1}};
    return ticket;
}

} // namespace internal

TEST(Ticket, OpensOnlyUnchangedAndWithTheSameSecret)
{
    const secret::FleetSecret secret{"secret"};
    const auto ticket = internal::ticketOf("parent");
    const auto text = seal(ticket, secret);
    EXPECT_EQ(open(text, secret), ticket);
    EXPECT_FALSE(open(text, secret::FleetSecret{"other"}));
    EXPECT_FALSE(open("", secret));
    for (std::size_t index = 0; index < text.size(); ++index) {
        auto changed = text;
        changed[index] = changed[index] == 'A' ? 'B' : 'A';
        EXPECT_FALSE(open(changed, secret)) << index;
        EXPECT_FALSE(open(text.substr(0, index), secret)) << index;
    }
}

TEST(Ticket, NeverLooksLikeAKey)
{
    const secret::FleetSecret secret{"secret"};
    std::mt19937_64 random{1};
    for (int round = 0; round < 20'000; ++round) {
        std::string parent;
        for (int letter = 0; letter < 24; ++letter) {
            parent += static_cast<char>(33 + random() % 90);
        }
        ASSERT_EQ(seal(internal::ticketOf(parent), secret).find("jl_"), std::string::npos) << parent;
    }
}

} // namespace jasminelatch::ticket
