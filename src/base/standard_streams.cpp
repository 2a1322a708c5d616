#include "cicadaport/base/standard_streams.h"

#include <initializer_list>

#include <fcntl.h>
#include <unistd.h>

namespace cicadaport::base {

void open_closed_standard_streams() noexcept
{
    for (const int stream : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        if (::fcntl(stream, F_GETFD) == -1) {
            // The lowest free descriptor is taken, which is this one.
            ::open("/dev/null", O_RDWR);
        }
    }
}

} // namespace cicadaport::base
