// The stand-in for the platform's log service.
#include "cicadaport/standins/log_service.h"
#include "cicadaport/standins/stand_in.h"

int main(int argc, char** argv)
{
    using namespace cicadaport;
    return standins::run_stand_in(
        argc, argv, "Stand-in for the platform's log service", [](base::io_pool& pool) {
            return standins::handler_of(std::make_shared<standins::log_service>(pool.context(0)));
        });
}
