// The part of gossip that concerns duties.
#include "cicadaport/serving/digest.h"
#include "cicadaport/serving/peer_gossip.h"

#include "news.pb.h"

namespace cicadaport::serving {

void peer_gossip::set_duty_news(duty_news_source source, duty_news_handler on_news)
{
    m_duty_news = std::move(source);
    m_on_duty_news = std::move(on_news);
}

void peer_gossip::send_duty_news(const peer_address& to, const duty_news& news)
{
    protocol::host_news gossip;
    gossip.set_sender(m_own_number);
    add_duty_news(gossip, news);
    send(gossip.SerializeAsString(), to);
}

void peer_gossip::add_duty_news(protocol::host_news& gossip, const duty_news& news)
{
    // The generated code keeps fields that it does not know.
    gossip.MergeFromString(encode(news));
}

void peer_gossip::handle_duty_news(host_number sender, const udp_address& from,
                                   std::string_view datagram)
{
    if (m_on_duty_news) {
        m_on_duty_news(sender, {from.address().to_v4().to_uint(), from.port()},
                       decode_duty_news(datagram));
    }
}

duty_order peer_gossip::order_of_hosts(const std::string& subject, std::size_t count,
                                       bool own_may_act) const
{
    return m_directory.order_of_hosts(engine_number(subject), count, own_may_act,
                                      m_host.timers.now());
}

} // namespace cicadaport::serving
