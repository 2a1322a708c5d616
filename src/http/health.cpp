#include "cicadaport/http/health.h"

namespace cicadaport::http {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

std::optional<response> health_answer(const std::string& path, const health_source& source)
{
    if (path == "/healthz") {
        return response{status_ok, {}, "ok\n"};
    }
    if (path == "/readyz") {
        return source.is_ready() ? response{status_ok, {}, "ok\n"}
                                 : response{status_unavailable, {}, "no\n"};
    }
    if (path == "/metrics") {
        return response{
            status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, source.metrics()};
    }
    return std::nullopt;
}

} // namespace cicadaport::http
