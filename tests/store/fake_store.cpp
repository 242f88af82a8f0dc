#include "tests/store/fake_store.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <condition_variable>
#include <set>

namespace pistachiohub::tests
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace json = boost::json;
using asio::ip::tcp;
using http_request = beast::http::request<beast::http::string_body>;
using http_response = beast::http::response<beast::http::string_body>;

namespace
{

struct pending_fault
{
    write_fault kind = write_fault::none;
    int count = 0;
};

json::object to_json(std::string const& name, fake_store::stored_object const& object)
{
    return {{"name", name}, {"version", object.version}, {"value", json::parse(object.value)}};
}

http_response answer(unsigned status, json::object const& body)
{
    http_response result{beast::http::int_to_status(status), 11};
    result.body() = json::serialize(body);
    result.prepare_payload();
    return result;
}

std::uint64_t query_number(std::string const& target, std::string const& key)
{
    auto const position = target.find(key + '=');
    return position == std::string::npos ? 0
                                         : std::stoull(target.substr(position + key.size() + 1));
}

} // namespace

struct fake_store::implementation
{
    explicit implementation(fake_store& own_store)
        : owner(own_store)
    {
    }

    fake_store& owner;
    asio::io_context context;
    tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, stored_object>> kinds;
    std::map<std::string, pending_fault> faults;
    std::map<std::string, int> writes;
    std::uint64_t revision = 0;
    bool is_stopping = false;
    std::set<int> sockets;
    std::vector<std::thread> threads;
    std::thread accepting;

    void store(std::string const& kind, std::string const& name, std::string const& value)
    {
        auto& object = kinds[kind][name];
        ++object.version;
        object.revision = ++revision;
        object.value = value;
        ++writes[kind];
        changed.notify_all();
    }

    write_fault take_fault(std::string const& kind)
    {
        auto& fault = faults[kind];
        if (fault.count == 0)
            return write_fault::none;
        --fault.count;
        return fault.kind;
    }

    // An empty result means that the connection closes without an answer.
    std::unique_ptr<http_response>
    write(std::string const& kind, std::string const& name, http_request const& wanted)
    {
        std::unique_lock lock(mutex);
        auto const fault = take_fault(kind);
        if (fault == write_fault::over_rate)
            return std::make_unique<http_response>(answer(429, {}));
        if (fault == write_fault::lost_before_effect)
            return nullptr;
        auto const expected = std::stoull(std::string(wanted["If-Match"]));
        auto const version = kinds[kind][name].version;
        if (version != expected)
            return std::make_unique<http_response>(answer(412, {{"version", version}}));
        store(kind, name, wanted.body());
        lock.unlock();
        if (owner.after_write)
            owner.after_write(kind);
        if (fault == write_fault::lost_after_effect)
            return nullptr;
        return std::make_unique<http_response>(answer(200, {{"version", expected + 1}}));
    }

    http_response list(std::string const& kind, std::uint64_t after) const
    {
        json::array objects;
        auto const known = kinds.find(kind);
        if (known != kinds.end())
        {
            for (auto const& [name, object] : known->second)
            {
                if (object.version > 0 && object.revision > after)
                    objects.push_back(to_json(name, object));
            }
        }
        return answer(200, {{"revision", revision}, {"objects", objects}});
    }

    bool has_change(std::string const& kind, std::uint64_t after)
    {
        for (auto const& [name, object] : kinds[kind])
        {
            if (object.revision > after)
                return true;
        }
        return false;
    }

    http_response watch(std::string const& kind, std::string const& target)
    {
        std::unique_lock lock(mutex);
        auto const after = query_number(target, "after");
        changed.wait_for(lock,
                         std::chrono::milliseconds(query_number(target, "wait_ms")),
                         [&]()
                         {
                             return is_stopping || owner.is_down || has_change(kind, after);
                         });
        return owner.is_down ? answer(503, {}) : list(kind, after);
    }

    http_response read(std::string const& kind, std::string const& name)
    {
        std::lock_guard const lock(mutex);
        if (name.empty())
            return list(kind, 0);
        auto const& object = kinds[kind][name];
        return object.version == 0 ? answer(404, {}) : answer(200, to_json(name, object));
    }

    std::unique_ptr<http_response> handle(http_request const& wanted)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(owner.delay_ms.load()));
        if (owner.is_down)
            return std::make_unique<http_response>(answer(503, {}));
        std::string const target(wanted.target());
        auto const path = target.substr(0, target.find('?'));
        auto const start = path.find('/', 1) + 1;
        auto const end = path.find('/', start);
        auto const kind = path.substr(start, end == std::string::npos ? end : end - start);
        auto const name = end == std::string::npos ? std::string() : path.substr(end + 1);
        if (path.rfind("/watch/", 0) == 0)
            return std::make_unique<http_response>(watch(kind, target));
        if (wanted.method() == beast::http::verb::put)
            return write(kind, name, wanted);
        return std::make_unique<http_response>(read(kind, name));
    }

    void serve(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        boost::system::error_code failure;
        while (!failure)
        {
            beast::http::request_parser<beast::http::string_body> parser;
            parser.body_limit(std::uint64_t{2} << 20);
            beast::http::read(socket, buffer, parser, failure);
            if (failure)
                break;
            auto const result = handle(parser.get());
            if (!result)
                break;
            beast::http::write(socket, *result, failure);
        }
        std::lock_guard const lock(mutex);
        sockets.erase(socket.native_handle());
    }

    void accept()
    {
        while (true)
        {
            boost::system::error_code failure;
            auto socket = acceptor.accept(failure);
            std::lock_guard const lock(mutex);
            if (failure || is_stopping)
                return;
            sockets.insert(socket.native_handle());
            threads.emplace_back(
                [this, accepted = std::move(socket)]() mutable
                {
                    serve(std::move(accepted));
                });
        }
    }
};

fake_store::fake_store()
    : m_implementation(std::make_unique<implementation>(*this))
{
    m_implementation->accepting = std::thread(
        [this]()
        {
            m_implementation->accept();
        });
}

fake_store::~fake_store()
{
    {
        std::lock_guard const lock(m_implementation->mutex);
        m_implementation->is_stopping = true;
        for (int const socket : m_implementation->sockets)
            ::shutdown(socket, SHUT_RDWR);
        ::shutdown(m_implementation->acceptor.native_handle(), SHUT_RDWR);
        m_implementation->changed.notify_all();
    }
    m_implementation->accepting.join();
    for (auto& thread : m_implementation->threads)
        thread.join();
}

kernel::endpoint fake_store::endpoint() const
{
    return {"127.0.0.1", m_implementation->acceptor.local_endpoint().port()};
}

void fake_store::put(std::string const& kind, std::string const& name, std::string const& value)
{
    std::lock_guard const lock(m_implementation->mutex);
    m_implementation->store(kind, name, value);
}

fake_store::stored_object fake_store::get(std::string const& kind, std::string const& name) const
{
    std::lock_guard const lock(m_implementation->mutex);
    return m_implementation->kinds[kind][name];
}

int fake_store::writes(std::string const& kind) const
{
    std::lock_guard const lock(m_implementation->mutex);
    return m_implementation->writes[kind];
}

void fake_store::fail_writes(std::string const& kind, write_fault fault, int count)
{
    std::lock_guard const lock(m_implementation->mutex);
    m_implementation->faults[kind] = {fault, count};
}

} // namespace pistachiohub::tests
