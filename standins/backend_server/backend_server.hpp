#pragma once

/// @file
/// The backend server protocol of the design page.

#include "kernel/clock.hpp"
#include "standins/http_server.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>

namespace pistachiohub::standins
{

/// Shape of the service times.
enum class service_time_shape
{
    fixed,
    /// Between half and one and a half of the mean.
    uniform,
    exponential
};

/// Options of one backend server.
struct backend_options
{
    std::string name;
    std::string service;
    std::uint32_t slots = 1;
    double mean_service_time_ms = 5;
    service_time_shape shape = service_time_shape::fixed;
    /// Time after the start or a return in which service times are doubled, in milliseconds.
    std::uint32_t cold_start_ms = 0;
    /// Bytes added to each answer.
    std::size_t answer_padding = 0;
    /// A request whose body contains this text ends the process; empty means none.
    std::string crash_marker;
    std::uint64_t seed = 1;
};

/// What the server does outside of its own state.
struct backend_effects
{
    /// Runs a task after a delay.
    std::function<void(kernel::duration, std::function<void()>)> after;
    /// Appends one line to the log; the line is durable before the request takes effect.
    std::function<void(std::string_view line)> log;
    /// Ends the process at once.
    std::function<void()> crash;
};

/// Runs, refuses and cancels requests. Has no socket.
class backend_server
{
public:
    backend_server(backend_options options, backend_effects effects, kernel::monotonic_time now);

    /// Handles one call.
    void
    handle(http_request const& request, kernel::monotonic_time now, http_responder const& respond);

private:
    void
    run(http_request const& request, kernel::monotonic_time now, http_responder const& respond);
    void
    start(http_request const& request, kernel::monotonic_time now, http_responder const& respond);
    [[nodiscard]] http_response cancel(http_request const& request);
    [[nodiscard]] http_response load_report() const;
    [[nodiscard]] http_response handle_control(http_request const& request,
                                               kernel::monotonic_time now);
    [[nodiscard]] http_response not_started(std::string_view message) const;
    void add_state(http_response& response) const;
    [[nodiscard]] kernel::duration draw_service_time(kernel::monotonic_time now);

    backend_options m_options;
    backend_effects m_effects;
    kernel::monotonic_time m_cold_until;
    std::mt19937_64 m_random;
    std::uint32_t m_in_flight = 0;
    std::uint64_t m_started_count = 0;
    bool m_is_leaving = false;
    bool m_is_load_reported = true;
    double m_shed_probability = 0;
    std::set<std::string> m_started;
    /// Cancelled before their start; a run that arrives later is refused.
    std::set<std::string> m_tombstones;
};

} // namespace pistachiohub::standins
