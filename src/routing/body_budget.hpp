// Bounds the memory of bodies that a daemon holds whole: those that still arrive, and those
// that wait to be written.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

namespace verbenahold::serving {

// Bodies up to this length have room of their own and are not counted.
inline constexpr std::size_t uncounted_body_bytes = 64UL * 1024;

// While the bodies together exceed the budget, the longest of those that may give way is
// asked to, so that bodies without end end first. The others are kept.
class body_budget {
    struct entry;

public:
    // Runs work once the present handler has returned.
    using deferral = std::function<void(std::function<void()>)>;

    // The bytes of one body after the other, counted until this object ends.
    class holding {
    public:
        holding() = default;
        ~holding() { release(); }
        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;
        holding(holding&& other) noexcept;
        holding& operator=(holding&& other) noexcept;

        // The body takes this many bytes now.
        void resize(std::size_t bytes) {
            const std::size_t counted = bytes > uncounted_body_bytes ? bytes : 0;
            if (m_owner != nullptr && counted != m_counted) {
                recount(counted);
            }
        }

    private:
        friend body_budget;
        holding(body_budget& owner, std::list<entry>::iterator place) : m_owner(&owner), m_place(place) {}
        void recount(std::size_t counted);
        void release();

        body_budget* m_owner = nullptr;
        std::list<entry>::iterator m_place;
        std::size_t m_counted = 0;
    };

    // `limit` is in bytes.
    body_budget(std::size_t limit, deferral defer) : m_limit(limit), m_defer(std::move(defer)) {}

    // Begins to count a body. `give_way` is called once at most, by way of the deferral, until
    // the holding is empty again; without it the body is always kept.
    [[nodiscard]] holding hold(std::function<void()> give_way = {});
    // Bytes of all bodies that are counted.
    [[nodiscard]] std::size_t held_bytes() const { return m_held; }
    // How many bodies were asked to give way.
    [[nodiscard]] std::size_t given_way() const { return m_given_way; }

private:
    struct entry {
        std::size_t bytes = 0;
        std::function<void()> give_way;
        bool is_giving_way = false;
    };

    void recount(entry& counted, std::size_t bytes);
    // The longest body that may give way and was not asked to yet; null if there is none.
    [[nodiscard]] entry* find_longest();

    std::size_t m_limit;
    deferral m_defer;
    std::list<entry> m_entries;
    std::size_t m_held = 0;
    // The part of m_held whose bodies were asked to give way.
    std::size_t m_leaving = 0;
    std::size_t m_given_way = 0;
};

}  // namespace verbenahold::serving
