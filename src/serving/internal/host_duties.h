// The duties of a host towards the platform, as far as its settings ask for them.
#pragma once

#include "cicadaport/serving/duty_scaling.h"
#include "cicadaport/serving/host_process.h"
#include "cicadaport/serving/usage_director.h"

namespace cicadaport::serving {

class host_duties {
public:
    // `settings` must have settings of duties; `host` and `gossip` must outlive this object.
    host_duties(host_state& host, peer_gossip& gossip, const host_settings& settings)
        : m_scales{settings.duties->scales}, m_client{host, settings.store_address,
                                                      settings.store_partitions, *settings.duties,
                                                      settings.name},
          m_usage{host, gossip, m_client, *settings.duties},
          m_authority{host, gossip, m_client}, m_scaling{host, m_authority}
    {
    }

    void start()
    {
        m_usage.start();
        if (m_scales) {
            m_scaling.start();
        }
    }

    // To be called before the process ends.
    void announce_last() { m_usage.announce_last(); }

    void log_counts()
    {
        m_usage.log_counts();
        m_scaling.log_state();
    }

private:
    bool m_scales;
    duty_client m_client;
    usage_director m_usage;
    duty_scaling m_authority;
    scaling_director m_scaling;
};

} // namespace cicadaport::serving
