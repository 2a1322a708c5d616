// What all stand-ins have in common: they serve HTTP until told to stop.
#pragma once

#include "cicadaport/base/io_pool.h"
#include "cicadaport/http/client.h"
#include "cicadaport/http/server.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace cicadaport::standins {

// Serves `handle` on `listen` until SIGTERM or SIGINT. Prints "listening PORT"
// once ready, so that a test that asked for port 0 learns the port.
void serve_until_signal(base::io_pool& pool, const http::address& listen, http::handler handle);

// Returns a handler that keeps `service` alive and passes every request to it.
template <typename Service>
http::handler handler_of(std::shared_ptr<Service> service)
{
    return [service = std::move(service)](std::size_t, const http::request& message,
                                          http::response_writer& writer) {
        return service->handle(message, writer);
    };
}

// The main program of a stand-in whose only option is where to listen. Returns
// the exit code.
//
//   return run_stand_in(argc, argv, "Stand-in for ...", [](base::io_pool& pool) {
//       return handler_of(std::make_shared<log_service>(pool.context(0)));
//   });
int run_stand_in(int argc, const char* const* argv, const std::string& description,
                 const std::function<http::handler(base::io_pool&)>& make_handler);

} // namespace cicadaport::standins
