#include "contender.hpp"

#include "hash.hpp"

namespace jasminelatch::membership {

namespace internal {

template<typename Accept>
auto best(const LeaseName &right, const std::span<const Candidate> candidates, const Accept &accept)
    -> const Candidate *
{
    const Candidate *winner = nullptr;
    std::uint64_t highest = 0;
    const auto rightHasher = Hasher{}.add(right);
    for (const auto &candidate : candidates) {
        if (!accept(candidate)) {
            continue;
        }
        const auto value = Hasher{rightHasher}.add(candidate.node).result();
        if (winner == nullptr || value > highest || (value == highest && candidate.node < winner->node)) {
            winner = &candidate;
            highest = value;
        }
    }
    return winner;
}

} // namespace internal

auto rightContenders(const LeaseName &right, const std::span<const Candidate> candidates) -> RightContenders
{
    const auto *const holder = internal::best(right, candidates, [](const Candidate &) { return true; });
    if (holder == nullptr) {
        return {};
    }
    return {holder->node, rightSuccessor(right, *holder, candidates)};
}

auto rightSuccessor(const LeaseName &right, const Candidate &holder, const std::span<const Candidate> candidates)
    -> std::optional<NodeAddress>
{
    const auto isElsewhere = [&](const Candidate &candidate) {
        return candidate.domain != holder.domain;
    };
    const auto isOther = [&](const Candidate &candidate) {
        return candidate.node != holder.node;
    };
    const auto *successor = internal::best(right, candidates, isElsewhere);
    if (successor == nullptr) {
        successor = internal::best(right, candidates, isOther);
    }
    if (successor == nullptr) {
        return {};
    }
    return successor->node;
}

} // namespace jasminelatch::membership
