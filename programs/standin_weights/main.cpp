// The stand-in for the platform's weight store.
#include "cicadaport/standins/host_list.h"
#include "cicadaport/standins/stand_in.h"

int main(int argc, char** argv)
{
    using namespace cicadaport;
    return standins::run_stand_in(
        argc, argv, "Stand-in for the platform's weight store", [](base::io_pool& pool) {
            return standins::handler_of(std::make_shared<standins::weight_store>(pool.context(0)));
        });
}
