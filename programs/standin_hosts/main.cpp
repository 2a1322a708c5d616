// The stand-in for the platform's host list.
#include "cicadaport/standins/host_list.h"
#include "cicadaport/standins/stand_in.h"

int main(int argc, char** argv)
{
    using namespace cicadaport;
    return standins::run_stand_in(
        argc, argv, "Stand-in for the platform's host list", [](base::io_pool&) {
            return standins::handler_of(std::make_shared<standins::host_list>());
        });
}
