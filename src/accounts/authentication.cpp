#include "cicadaport/accounts/authentication.h"

namespace cicadaport::accounts {

std::string_view to_string(outcome of) noexcept
{
    switch (of) {
    case outcome::accepted:
        return "accepted";
    case outcome::anonymous:
        return "anonymous";
    case outcome::unknown_key:
        return "unknown_key";
    case outcome::stale_view:
        break;
    }
    return "stale_view";
}

std::string_view to_string(credentials::form of) noexcept
{
    switch (of) {
    case credentials::form::absent:
        return "absent";
    case credentials::form::malformed:
        return "malformed";
    case credentials::form::key:
        break;
    }
    return "key";
}

bool proves_keys(std::optional<milliseconds> age,
                 std::optional<milliseconds> max_revocation_delay) noexcept
{
    return !max_revocation_delay || (age && *age <= *max_revocation_delay);
}

decision authenticate(const credentials& given, const view& known, bool allows_anonymous)
{
    const bool has_key = given.kind == credentials::form::key;
    if (has_key && !proves_keys(known.age, known.max_revocation_delay)) {
        return {outcome::stale_view, nullptr};
    }
    if (has_key) {
        if (const auto* holder = known.keys.find_key(given.key)) {
            return {outcome::accepted, holder};
        }
    }
    if (allows_anonymous) {
        return {outcome::anonymous, nullptr};
    }
    const bool is_current = known.age && *known.age <= known.max_apply_delay;
    return {is_current ? outcome::unknown_key : outcome::stale_view, nullptr};
}

void authentication_counts::count(outcome of) noexcept
{
    switch (of) {
    case outcome::accepted:
        ++accepted;
        return;
    case outcome::anonymous:
        ++anonymous;
        return;
    case outcome::unknown_key:
        ++unknown_key;
        return;
    case outcome::stale_view:
        ++stale_view;
        return;
    }
}

} // namespace cicadaport::accounts
