#include "cicadaport/entry/paths.h"

namespace cicadaport::entry {

boost::asio::awaitable<void> resumable_completion(path_resources resources,
                                                  caller_exchange exchange)
{
    return pass_through_completion(resources, exchange);
}

} // namespace cicadaport::entry
