// Constants and functions that the parts of `exchange` and the duties share.
#pragma once

#include "cicadaport/serving/deployment.h"
#include "cicadaport/serving/list_position.h"

namespace cicadaport::serving {

// With less time left than this, a further attempt can't succeed.
constexpr milliseconds min_useful_time{15};
// An engine that crashes on a prompt does so before its answer has lasted this long.
constexpr milliseconds answer_beginning_time{50};
// Retry-After times: when a service has no usable endpoint, and when it is overloaded.
constexpr milliseconds retry_after_no_endpoint{400};
constexpr milliseconds retry_after_overload{250};

// An endpoint stops at the deadline and then reports that. The host waits this much longer
// for the report.
constexpr milliseconds deadline_grace{30};
// Retry-After time when this host is stopping: other hosts can take the request at once.
constexpr milliseconds retry_after_stop{50};

constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_timeout = 504;

constexpr milliseconds to_ms(clock::duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

constexpr bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

// Returns whether the status tells callers that the request has not run.
constexpr bool promises_not_run(unsigned status)
{
    return status == 408 || status == status_misdirected || status == 429 ||
           status == status_unavailable;
}

} // namespace cicadaport::serving
