// Bounds the memory of answers that a daemon holds whole: those that arrive from servers,
// and those that wait for callers to read them.
#pragma once

#include <cstddef>
#include <functional>
#include <list>

namespace verbenahold::serving {

// Answers up to this length have room of their own and are not counted.
inline constexpr std::size_t uncounted_answer_bytes = 64UL * 1024;

// While the answers together exceed the budget, the longest of those that may give way is
// asked to, so that answers without end end first. The others are kept.
class answer_budget {
    struct entry;

public:
    // Runs work once the present handler has returned.
    using deferral = std::function<void(std::function<void()>)>;

    // The bytes of one answer, counted until this object ends.
    class holding {
    public:
        holding() = default;
        ~holding() { release(); }
        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;
        holding(holding&& other) noexcept;
        holding& operator=(holding&& other) noexcept;

        // The answer takes this many bytes now.
        void resize(std::size_t bytes) {
            const std::size_t counted = bytes > uncounted_answer_bytes ? bytes : 0;
            if (m_owner != nullptr && counted != m_counted) {
                recount(counted);
            }
        }

    private:
        friend answer_budget;
        holding(answer_budget& owner, std::list<entry>::iterator place) : m_owner(&owner), m_place(place) {}
        void recount(std::size_t counted);
        void release();

        answer_budget* m_owner = nullptr;
        std::list<entry>::iterator m_place;
        std::size_t m_counted = 0;
    };

    // `limit` is in bytes.
    answer_budget(std::size_t limit, deferral defer) : m_limit(limit), m_defer(std::move(defer)) {}

    // Begins to count an answer. `give_way` is called once at most, by way of the deferral,
    // while the holding exists; without it the answer is always kept.
    [[nodiscard]] holding hold(std::function<void()> give_way = {});
    // Bytes of all answers that are counted.
    [[nodiscard]] std::size_t held_bytes() const { return m_held; }
    // How many answers were asked to give way.
    [[nodiscard]] std::size_t given_way() const { return m_given_way; }

private:
    struct entry {
        std::size_t bytes = 0;
        std::function<void()> give_way;
        bool is_giving_way = false;
    };

    void recount(entry& counted, std::size_t bytes);
    // The longest answer that may give way and was not asked to yet; null if there is none.
    [[nodiscard]] entry* find_longest();

    std::size_t m_limit;
    deferral m_defer;
    std::list<entry> m_entries;
    std::size_t m_held = 0;
    // The part of m_held whose answers were asked to give way.
    std::size_t m_leaving = 0;
    std::size_t m_given_way = 0;
};

}  // namespace verbenahold::serving
