// What all stand-ins have in common: they serve HTTP until told to stop.
#pragma once

#include "cicadaport/base/io_pool.h"
#include "cicadaport/http/client.h"
#include "cicadaport/http/server.h"

namespace cicadaport::standins {

// Serves `handle` on `listen` until SIGTERM or SIGINT. Prints "listening PORT"
// once ready, so that a test that asked for port 0 learns the port.
void serve_until_signal(base::io_pool& pool, const http::address& listen, http::handler handle);

} // namespace cicadaport::standins
