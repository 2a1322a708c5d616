#include "cicadaport/serving/duty_scaling.h"

namespace cicadaport::serving {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

std::string subject_of(const std::string& service)
{
    return "scale/" + service;
}

std::string subject_of(const std::string& service, const std::string& zone)
{
    return subject_of(service) + "/" + zone;
}

} // namespace

std::size_t duty_scaling::rank(const std::string& service) const
{
    // One order of hosts for all zones of a service, so that one host plans them together.
    const bool may_act = !m_host.is_stopping() && !m_host.paths.is_cut_off();
    return m_gossip.order_of_hosts(subject_of(service), duties::acting_turn::max_rank + 1, may_act)
        .own_rank;
}

void duty_scaling::send(const std::string& service, const duties::scaling_order& order,
                        time_point give_up_at, completion on_done)
{
    duty_request request;
    request.subject = subject_of(service, order.zone);
    request.kind = duty_kind::scale;
    request.body = m_host.wire.scale_order(service, order);
    request.give_up_at = give_up_at;
    m_client.perform(std::move(request), [on_done = std::move(on_done)](const duty_outcome& ended) {
        result out;
        out.status = ended.status;
        out.fencing_token = ended.fencing_token;
        if (ended.what == duty_outcome::result::answered) {
            out.outcome = ended.status == status_ok         ? duties::order_outcome::accepted
                          : ended.status == status_conflict ? duties::order_outcome::unavailable
                                                            : duties::order_outcome::unknown;
        }
        on_done(out);
    });
}

} // namespace cicadaport::serving
