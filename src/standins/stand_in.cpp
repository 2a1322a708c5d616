#include "cicadaport/standins/stand_in.h"

#include <csignal>
#include <iostream>

namespace cicadaport::standins {

void serve_until_signal(base::io_pool& pool, const http::address& listen, http::handler handle)
{
    const http::server server{pool, listen.ip, listen.port, {}, std::move(handle)};
    boost::asio::signal_set signals{pool.context(0), SIGTERM, SIGINT};
    signals.async_wait([&](const boost::system::error_code&, int) { pool.stop(); });
    std::cout << "listening " << server.port() << std::endl;
    pool.run();
}

} // namespace cicadaport::standins
