// A stand-in for a backend server that answers a request once its head has arrived, while
// the body is still on its way.
#pragma once

#include "serving_rig.hpp"

namespace verbenahold::serving {

class early_server {
public:
    class session;
    // Gets a request without its body.
    using handler = std::function<void(const http_request&, const std::shared_ptr<session>&)>;

    // Adds the server to the rig's store under this id.
    early_server(serving_rig& rig, const std::string& id, handler answer);
    // Reads one request, up to its head.
    class session : public std::enable_shared_from_this<session> {
    public:
        session(early_server& owner, boost::asio::ip::tcp::socket socket);
        void read();
        void write(const std::string& bytes);
        // Ends the answer in order, and goes on reading the body.
        void end();
        // Closes the connection with a reset: the body was not read.
        void reset();

    private:
        void drop_input();

        early_server& m_owner;
        boost::asio::ip::tcp::socket m_socket;
        std::array<char, 1'024> m_chunk{};
        std::string m_input;
    };

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    handler m_answer;
};

}  // namespace verbenahold::serving
