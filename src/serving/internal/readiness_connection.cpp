#include "internal/readiness_connection.h"

namespace cicadaport::serving {

void readiness_connection::start()
{
    m_self = shared_from_this();
    m_connection->set_observer(this);
    m_connection->start();
}

void readiness_connection::on_input()
{
    const auto keep = shared_from_this();
    m_connection->consume(m_reader.feed(m_connection->input()));
    if (m_reader.problem() != transport::parse_problem::none) {
        end();
    }
    else if (m_reader.complete()) {
        m_reader = fresh_reader();
        m_connection->write(m_is_ready() ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                         : "HTTP/1.1 503 Service Unavailable\r\n"
                                           "Content-Length: 0\r\n\r\n");
    }
}

void readiness_connection::end()
{
    const auto keep = std::exchange(m_self, nullptr);
    m_connection->close();
}

} // namespace cicadaport::serving
