#include "verbenahold/entry_core.hpp"

#include "caller_side.hpp"
#include "config_view.hpp"
#include "entry_core_impl.hpp"
#include "keyed_calls.hpp"
#include "membership.hpp"
#include "owner_side.hpp"
#include "ownership.hpp"

#include <utility>

namespace verbenahold {

entry_core::entry_core(entry_settings settings) : m_impl(std::make_unique<impl>(std::move(settings))) {}

entry_core::~entry_core() = default;
entry_core::entry_core(entry_core&&) noexcept = default;
entry_core& entry_core::operator=(entry_core&&) noexcept = default;

void entry_core::handle(const entry_event& event, time_point now, std::vector<entry_command>& out) {
    m_impl->handle(event, now, out);
}

std::optional<time_point> entry_core::next_wakeup() const {
    return m_impl->next_wakeup();
}

bool entry_core::is_ready(time_point now) const {
    return m_impl->is_ready(now);
}

entry_core::figures entry_core::read_figures() const {
    return m_impl->read_figures();
}

}  // namespace verbenahold
