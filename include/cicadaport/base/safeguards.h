// The safeguards of a request's path, each of which a test can switch off to
// show what it prevents.
#pragma once

#include <atomic>
#include <cstdint>

namespace cicadaport::base {

// What each one does is said where it is asked for.
enum class safeguard : std::uint32_t {
    // Only a request that surely was not run, or may be repeated, is sent
    // again; a refusal says what may have become of it.
    verdict,
    // A request that may not be repeated uses a connection of its own.
    fresh_connection,
    // A connection that brought more than its answer is not used again.
    clean_connection,
    // An endpoint that fails is left out for a while.
    circuit_breaker,
    // Retries are bounded by a share of first tries.
    retry_budget,
    // A caller that brings a position goes on from there.
    resume_position,
    // A position is good for its own account and request only.
    position_owner,
    // A second run goes on only if it begins with what was delivered.
    same_beginning,
    // An engine is told when the caller leaves.
    engine_cancel,
    // A stopping process says how its requests go on elsewhere.
    hand_over,
    // A keyed call is claimed on the log before it is sent.
    claim,
    // A claimed key is refused for another request.
    claimed_request,
    // A call is refused when the log can't confirm its claim.
    confirmed_claim,
    // A call whose winner was paused for too long does not begin.
    begin_time,
    // A key that says that it is older than claims are kept is refused.
    key_age,
    // An append whose answer was lost is looked for in the log.
    read_back,
    // A claim that was given up and turns up later is released.
    abandoned_release,
    // An answer that the log did not take is offered again.
    kept_answer,
};

// Which safeguards are off. Only the tests' `safeguard_off` can change that:
// it is defined in no library and no program.
//
// Thread safety: any thread.
class safeguards {
public:
    static bool is_on(safeguard which) noexcept
    {
        return (s_off.load(std::memory_order_relaxed) & bit(which)) == 0;
    }

private:
    friend class safeguard_off;
    static constexpr std::uint32_t bit(safeguard which) noexcept
    {
        return 1U << static_cast<std::uint32_t>(which);
    }
    static inline std::atomic<std::uint32_t> s_off{0};
};

} // namespace cicadaport::base
