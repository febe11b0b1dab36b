#include "early_server.hpp"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <sstream>

namespace verbenahold::serving {

namespace {

using boost::asio::ip::tcp;

// Segment size of an Ethernet link. With the loopback's own, the sender's buffer may hold the
// longest body.
constexpr int segment_bytes = 1'460;
constexpr int receive_buffer_bytes = 8'192;

http_request request_of(const std::string& head) {
    http_request request;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream(line) >> request.method >> request.target;
    while (std::getline(lines, line) && line.find(": ") != std::string::npos) {
        const auto colon = line.find(": ");
        request.fields.push_back({line.substr(0, colon), line.substr(colon + 2, line.size() - colon - 3)});
    }
    return request;
}

}  // namespace

early_server::early_server(serving_rig& rig, const std::string& id, handler answer)
    : m_acceptor(rig.loop), m_answer(std::move(answer)) {
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    ::setsockopt(m_acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    accept();
    rig.store.put("servers", id,
                  R"({"service":"app","address":"127.0.0.1:)" + std::to_string(m_acceptor.local_endpoint().port()) +
                      R"(","zone":"zone-a","slots":4,"state":"ready"})");
}

void early_server::accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (!error) {
            std::make_shared<session>(*this, std::move(socket))->read();
            accept();
        }
    });
}

early_server::session::session(early_server& owner, tcp::socket socket) : m_owner(owner), m_socket(std::move(socket)) {}

void early_server::session::read() {
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
                                 if (error) {
                                     return;
                                 }
                                 self->m_input.append(self->m_chunk.data(), count);
                                 const auto end = self->m_input.find("\r\n\r\n");
                                 if (end == std::string::npos) {
                                     self->read();
                                     return;
                                 }
                                 self->m_owner.m_answer(request_of(self->m_input.substr(0, end + 2)), self);
                             });
}

void early_server::session::write(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
}

void early_server::session::end() {
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    drop_input();
}

void early_server::session::drop_input() {
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
                             [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
                                 if (!error) {
                                     self->drop_input();
                                 }
                             });
}

void early_server::session::reset() {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

}  // namespace verbenahold::serving
