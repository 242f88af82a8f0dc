#pragma once

/// @file
/// A scripted entry host for tests of callers.

#include "standins/http_server.hpp"

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pistachiohub::tests
{

/// Answers requests on its own thread by a script, and records them.
class fake_entry_host
{
public:
    /// Answers the request with this number (from 0).
    using script =
        std::function<standins::http_response(standins::http_request const&, std::size_t)>;

    explicit fake_entry_host(script answer)
        : m_answer(std::move(answer))
        , m_server(
              m_loop,
              0,
              64,
              [this](standins::http_request const& request, standins::http_responder const& respond)
              {
                  handle(request, respond);
              })
        , m_port(m_server.port())
        , m_thread(
              [this]()
              {
                  m_loop.run();
              })
    {
    }

    fake_entry_host(fake_entry_host const&) = delete;
    fake_entry_host& operator=(fake_entry_host const&) = delete;

    ~fake_entry_host()
    {
        m_loop.stop();
        m_thread.join();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return m_port;
    }

    void set_lookup(std::string text)
    {
        std::lock_guard const lock(m_mutex);
        m_lookup = std::move(text);
    }

    [[nodiscard]] std::size_t lookups() const
    {
        std::lock_guard const lock(m_mutex);
        return m_lookups;
    }

    [[nodiscard]] std::vector<standins::http_request> requests() const
    {
        std::lock_guard const lock(m_mutex);
        return m_requests;
    }

private:
    void handle(standins::http_request const& request, standins::http_responder const& respond)
    {
        std::unique_lock lock(m_mutex);
        if (request.path == "/v1/lookup")
        {
            ++m_lookups;
            respond({200, m_lookup, {}, false});
            return;
        }
        m_requests.push_back(request);
        auto const number = m_requests.size() - 1;
        lock.unlock();
        respond(m_answer(request, number));
    }

    script m_answer;
    mutable std::mutex m_mutex;
    std::string m_lookup;
    std::size_t m_lookups = 0;
    std::vector<standins::http_request> m_requests;
    kernel::event_loop m_loop;
    standins::http_server m_server;
    std::uint16_t m_port;
    std::thread m_thread;
};

} // namespace pistachiohub::tests
