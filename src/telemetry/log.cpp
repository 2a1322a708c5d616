#include "cicadaport/telemetry/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cicadaport::telemetry {

void start_logging(const std::string& process, const std::string& level)
{
    auto logger = spdlog::stderr_logger_mt(process);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e process=%n pid=%P level=%l event=%v");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(std::move(logger));
}

} // namespace cicadaport::telemetry
