// Checks whether an endpoint still accepts connections.
#pragma once

#include "cicadaport/http/address.h"
#include "cicadaport/transport/timer_queue.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace cicadaport::serving {

// Opens a connection to `to` without sending anything, and calls `on_end` once, asynchronously,
// with whether it was established. Tells the end of an endpoint, which refuses connections, from
// the end of one connection. To be called on the event loop's thread.
void probe_endpoint(boost::asio::io_context& context, transport::timer_queue& timers,
                    const http::address& to, std::function<void(bool accepts_connections)> on_end);

} // namespace cicadaport::serving
