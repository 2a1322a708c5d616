// Choosing the endpoint that a request is sent to.
#pragma once

#include "cicadaport/entry/endpoint_filter.h"
#include "cicadaport/entry/request_context.h"
#include "cicadaport/http/client.h"
#include "cicadaport/routing/placement.h"
#include "cicadaport/routing/view.h"

#include <memory>
#include <string>
#include <string_view>

namespace cicadaport::entry {

// Counts a request at an endpoint for as long as it lives.
class in_flight_charge {
public:
    in_flight_charge() = default;
    explicit in_flight_charge(std::shared_ptr<routing::endpoint_load> load);
    in_flight_charge(in_flight_charge&& other) noexcept = default;
    in_flight_charge& operator=(in_flight_charge&& other) noexcept;
    ~in_flight_charge();

private:
    void release() noexcept;

    std::shared_ptr<routing::endpoint_load> m_load;
};

// A chosen endpoint, copied out of the view so that it outlives it.
struct chosen_endpoint {
    std::string name;
    http::address address;
    in_flight_charge charge;
};

// What a request asks of an engine.
struct engine_request {
    const request_context& context;
    std::string_view model;
    // The whole body, as the caller sent it.
    std::string_view body;
};

// Returns the engine for the next try of `wanted`. Throws `request_failure`,
// always with the verdict not_run, if the model is unknown, if no engine may
// take the request, or if it can't be answered in time.
//
// Called inside a read-side section of `view`. Belongs to one event loop.
chosen_endpoint choose_engine(const routing::view& view, const engine_request& wanted,
                              const endpoint_filter& filter, routing::random_source& random);

// Returns the replica of `service` for the next try of a request. Throws
// `request_failure` with the verdict not_run if none may take it.
chosen_endpoint choose_replica(const routing::view& view, const std::string& service,
                               const endpoint_filter& filter, routing::random_source& random);

// Returns a time to come back after, spread so that callers refused together
// don't come back together.
std::chrono::milliseconds spread_retry_time(routing::random_source& random);

} // namespace cicadaport::entry
