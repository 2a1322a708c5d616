// Sends orders for the number of replicas under the authority over their subjects: the pairs of a
// service and a zone.
//
// Runs on the event loop.
#pragma once

#include "cicadaport/serving/duty_client.h"
#include "cicadaport/serving/peer_gossip.h"
#include "cicadaport/serving/scaling_director.h"

namespace cicadaport::serving {

class duty_scaling final : public scaling_authority {
public:
    // All must outlive this object.
    duty_scaling(host_state& host, const peer_gossip& gossip, duty_client& client)
        : m_host{host}, m_gossip{gossip}, m_client{client}
    {
    }

    std::size_t rank(const std::string& service) const override;
    void send(const std::string& service, const duties::scaling_order& order, time_point give_up_at,
              completion on_done) override;

private:
    host_state& m_host;
    const peer_gossip& m_gossip;
    duty_client& m_client;
};

} // namespace cicadaport::serving
