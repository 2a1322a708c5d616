// An object that disables a safeguard for its lifetime.
#pragma once

#include "cicadaport/base/safeguards.h"

namespace cicadaport::base {

//   const base::safeguard_off without{base::safeguard::claim};
//
// Construct and destroy it only while no request is running.
class safeguard_off {
public:
    explicit safeguard_off(safeguard which) noexcept : m_bit{safeguards::bit(which)}
    {
        safeguards::s_off.fetch_or(m_bit);
    }
    ~safeguard_off() { safeguards::s_off.fetch_and(~m_bit); }
    safeguard_off(const safeguard_off&) = delete;
    safeguard_off& operator=(const safeguard_off&) = delete;

private:
    std::uint32_t m_bit;
};

} // namespace cicadaport::base
