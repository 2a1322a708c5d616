// The stand-in for a plain service.
#include "cicadaport/standins/plain_service.h"
#include "cicadaport/standins/stand_in.h"

int main(int argc, char** argv)
{
    using namespace cicadaport;
    return standins::run_stand_in(
        argc, argv, "Stand-in for a plain service", [](base::io_pool& pool) {
            return standins::handler_of(std::make_shared<standins::plain_service>(pool.context(0)));
        });
}
