#include "cicadaport/telemetry/log.h"

#include "internal/bounded_sink.h"

#include <spdlog/spdlog.h>

#include <unistd.h>

namespace cicadaport::telemetry {

void start_logging(const std::string& process, const std::string& level)
{
    auto logger =
        std::make_shared<spdlog::logger>(process, std::make_shared<bounded_sink>(STDERR_FILENO));
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e process=%n pid=%P level=%l event=%v");
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(std::move(logger));
}

} // namespace cicadaport::telemetry
