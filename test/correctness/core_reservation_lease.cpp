// Guards against memory that stays reserved beyond the bound on unused time, and
// against the release of memory that a request uses.
#include "reservation_lease.hpp"

#include <catch2/catch.hpp>

using namespace verbenahold;
using namespace verbenahold::serving;
using namespace std::chrono_literals;

namespace {

constexpr duration lifetime = 3'500ms;
constexpr duration max_unused = 9s;
constexpr time_point start{20s};

reservation_lease make_lease() {
    return {start, lifetime, max_unused};
}

}  // namespace

TEST_CASE("no hold of unused memory reaches the bound on unused time") {
    const auto lease = make_lease();
    CHECK(lease.hold(start) == lifetime);
    for (auto age = 0ms; age <= 20s; age += 100ms) {
        CAPTURE(age.count());
        const auto hold = lease.hold(start + age);
        CHECK(hold >= duration::zero());
        CHECK((hold == duration::zero() || age + hold < max_unused));
    }
}

TEST_CASE("a bound shorter than the usual hold shortens the first one") {
    const reservation_lease lease(start, lifetime, 2s);
    CHECK(lease.hold(start) > duration::zero());
    CHECK(lease.hold(start) < 2s);
}

TEST_CASE("a holder is asked rarely, and only once the memory is unused for a while") {
    auto lease = make_lease();
    int asked = 0;
    for (auto age = 0ms; !lease.is_over(start + age); age += 100ms) {
        if (lease.is_check_due(start + age)) {
            CHECK(age >= max_unused / 4);
            lease.on_asked(start + age);
            ++asked;
        }
    }
    CHECK(asked >= 3);
    CHECK(asked <= 6);
}

TEST_CASE("memory that its holder reports as unused is released before the bound") {
    auto lease = make_lease();
    lease.on_found_unused(start + 3s);
    CHECK_FALSE(lease.is_over(start + 3s));
    lease.on_found_unused(start + 6s);
    CHECK(lease.is_over(start + 6s));
}

TEST_CASE("memory whose holders do not answer is released before the bound") {
    const auto lease = make_lease();
    CHECK_FALSE(lease.is_over(start + 6s));
    CHECK(lease.is_over(start + 7s));
}

TEST_CASE("memory that is in use is held and renewed at its full length") {
    auto lease = make_lease();
    for (auto age = 3s; age < 60s; age += 3s) {
        lease.on_used(start + age);
        CHECK(lease.hold(start + age) == lifetime);
        CHECK_FALSE(lease.is_over(start + age + 3s));
    }
    CHECK(lease.was_used());
}

TEST_CASE("memory that falls out of use is released in the same time as unused memory") {
    auto lease = make_lease();
    lease.on_used(start + 30s);
    CHECK_FALSE(lease.is_over(start + 36s));
    CHECK(lease.is_over(start + 37s));
    lease.on_found_unused(start + 36s);
    CHECK(lease.is_over(start + 36s));
}

TEST_CASE("memory found in use after a report that it was not stays reserved") {
    auto lease = make_lease();
    lease.on_found_unused(start + 5s);
    lease.on_used(start + 6s);
    CHECK_FALSE(lease.is_over(start + 8s));
}

TEST_CASE("an earlier use does not shorten the lease") {
    auto lease = make_lease();
    lease.on_used(start + 5s);
    lease.on_used(start + 4s);
    CHECK(lease.unused_for(start + 6s) == 1s);
}
