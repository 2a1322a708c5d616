#include "cicadaport/standins/stand_in.h"

#include <CLI/CLI.hpp>

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

int run_stand_in(int argc, const char* const* argv, const std::string& description,
                 const std::function<http::handler(base::io_pool&)>& make_handler)
{
    CLI::App app{description};
    std::string listen = "127.0.0.1:0";
    app.add_option("--listen", listen, "IP:PORT to listen on; port 0 takes a free one");
    CLI11_PARSE(app, argc, argv);
    base::io_pool pool{1};
    serve_until_signal(pool, http::parse_address(listen), make_handler(pool));
    return 0;
}

} // namespace cicadaport::standins
