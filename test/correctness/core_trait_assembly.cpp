// Tests sets of traits that arrive in parts. Guards against sets that are used before they
// are whole, and against memory for sets that never become whole.
#include "trait_assembly.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

using namespace verbenahold::serving;

namespace {

constexpr std::size_t part_size = 64;

struct sent_set {
    explicit sent_set(std::uint64_t first, std::size_t count) : traits(count) {
        std::iota(traits.begin(), traits.end(), first);
        id = {digest_of(traits), count};
    }
    [[nodiscard]] std::size_t parts() const { return (traits.size() + part_size - 1) / part_size; }
    [[nodiscard]] std::span<const request_trait> part(std::size_t number) const {
        const auto first = number * part_size;
        return std::span(traits).subspan(first, std::min(part_size, traits.size() - first));
    }

    std::vector<request_trait> traits;
    trait_set_id id;
};

}  // namespace

TEST_CASE("a set that arrives in parts is whole once, in any order and with repeats") {
    const auto seed = GENERATE(range(1U, 11U));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const sent_set sent(100, 1'000);
    std::vector<std::size_t> order(sent.parts());
    std::iota(order.begin(), order.end(), std::size_t{0});
    order.insert(order.end(), order.begin(), order.begin() + 5);
    std::shuffle(order.begin(), order.end(), random);
    trait_assembly assembly;
    std::vector<std::vector<request_trait>> whole;
    std::set<std::size_t> arrived;
    for (const auto number : order) {
        const bool was_whole = arrived.size() == sent.parts();
        arrived.insert(number);
        if (auto set = assembly.add(sent.id, sent.part(number))) {
            CHECK(arrived.size() == sent.parts());
            whole.push_back(std::move(*set));
        } else {
            CHECK((was_whole || arrived.size() < sent.parts()));
        }
    }
    REQUIRE(whole.size() == 1);
    CHECK(whole.front() == sent.traits);
}

TEST_CASE("sets of which a part is missing or another is sent are never whole, and their memory is bounded") {
    trait_assembly assembly;
    const sent_set sent(100, 130);
    CHECK_FALSE(assembly.add(sent.id, sent.part(0)));
    CHECK_FALSE(assembly.add(sent.id, sent.part(2)));
    const sent_set foreign(5'000, 64);
    CHECK_FALSE(assembly.add(sent.id, foreign.part(0)));
    for (std::uint64_t number = 0; number < 10 * max_incomplete_sets; ++number) {
        const sent_set other(1'000 * (number + 10), 130);
        CHECK_FALSE(assembly.add(other.id, other.part(0)));
    }
    // Its other parts were forgotten for newer sets.
    CHECK_FALSE(assembly.add(sent.id, sent.part(1)));
    CHECK_FALSE(assembly.add({1, max_traits_of_set + 1}, sent.part(0)));
}
