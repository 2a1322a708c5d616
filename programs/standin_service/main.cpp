// The stand-in for a plain service.
#include "cicadaport/standins/plain_service.h"
#include "cicadaport/standins/stand_in.h"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for a plain service"};
    std::string listen = "127.0.0.1:0";
    app.add_option("--listen", listen, "IP:PORT to listen on; port 0 takes a free one");
    CLI11_PARSE(app, argc, argv);
    cicadaport::base::io_pool pool{1};
    cicadaport::standins::plain_service service{pool.context(0)};
    cicadaport::standins::serve_until_signal(
        pool, cicadaport::http::parse_address(listen),
        [&](std::size_t, const cicadaport::http::request& message,
            cicadaport::http::response_writer& writer) { return service.handle(message, writer); });
    return 0;
}
