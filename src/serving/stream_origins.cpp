#include "cicadaport/serving/stream_origins.h"

#include <xxhash.h>

namespace cicadaport::serving {

origin_id origin_of(const endpoint_report& replica)
{
    // The service's name contains no zero byte, so different pairs give different texts.
    const auto text = replica.service + '\0' + replica.version;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace cicadaport::serving
