#include "standins/load/http_session.hpp"

#include "kernel/error.hpp"
#include "libraries/http/message_reader.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace pistachiohub::standins::load
{

namespace
{

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr unsigned http_1_1 = 11;
constexpr std::uint32_t header_limit = 8192;
constexpr std::uint64_t body_limit = 1U << 20U;

tcp::endpoint parse_endpoint(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        throw kernel::error("endpoint " + text + " is not of the form address:port");
    auto const address = boost::asio::ip::make_address(text.substr(0, colon));
    return {address, static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)))};
}

} // namespace

struct http_session::implementation
{
    http_answer exchange(http::request<http::string_body>& request)
    {
        request.set(http::field::host, "daemon");
        request.prepare_payload();
        http::write(socket, request);
        pistachiohub::http::answer_parser parser({header_limit, body_limit});
        boost::system::error_code failure;
        pistachiohub::http::read_message(socket, buffer, parser, failure);
        if (failure)
            throw boost::system::system_error(failure);
        return {parser.head().status, std::move(parser.body())};
    }

    boost::asio::io_context context;
    tcp::socket socket{context};
    boost::beast::flat_buffer buffer;
};

http_session::http_session(std::string const& endpoint)
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->socket.connect(parse_endpoint(endpoint));
    m_implementation->socket.set_option(tcp::no_delay(true));
}

http_session::~http_session() = default;

http_answer http_session::get(std::string const& target)
{
    http::request<http::string_body> request(http::verb::get, target, http_1_1);
    return m_implementation->exchange(request);
}

http_answer http_session::post(std::string const& target,
                               std::vector<header> const& headers,
                               std::string const& body)
{
    http::request<http::string_body> request(http::verb::post, target, http_1_1, body);
    for (auto const& line : headers)
        request.set(line.name, line.value);
    return m_implementation->exchange(request);
}

} // namespace pistachiohub::standins::load
