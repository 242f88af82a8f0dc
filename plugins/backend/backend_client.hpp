#pragma once

/// @file
/// Attempts, cancellations and probes at the backend servers of this daemon's failure domain.

#include "kernel/clock.hpp"
#include "kernel/event_loop.hpp"
#include "kernel/metrics.hpp"
#include "libraries/events/backend_command.hpp"
#include "libraries/events/control_event.hpp"
#include "libraries/events/forward_event.hpp"
#include "libraries/view/world_view.hpp"
#include "plugins/backend/connection_pool.hpp"
#include "plugins/backend/server_exchange.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace pistachiohub::backend
{

/// Times of the client; tests shorten them.
struct backend_client_times
{
    /// Common servers close an idle connection after 5 s or more.
    std::chrono::milliseconds idle{4000};
    /// Time after the deadline for which a late answer is still read.
    std::chrono::milliseconds late{10000};
    /// Time for a probe or a cancellation; a probe takes about 6 ms.
    std::chrono::milliseconds control{1000};
};

/// Where the client's results go.
struct backend_client_outputs
{
    std::function<void(events::attempt_result&&)> attempt;
    std::function<void(events::cancel_result const&)> cancel;
    std::function<void(events::backend_observation&&)> observe;
};

/// Used on one thread, that of its loop.
class backend_client
{
public:
    backend_client(kernel::event_loop& loop,
                   kernel::metrics& counters,
                   backend_client_times const& times,
                   backend_client_outputs outputs);

    /// Takes the connection limits from a view; called after each publication or from time to time.
    void set_limits(view::world_view const& world);

    /// Sends one attempt.
    void dispatch(events::dispatch_attempt&& attempt);

    /// Asks a backend server to cancel an attempt.
    void cancel(events::cancel_attempt const& attempt);

    /// Probes every backend server of the view that has no probe under way.
    void probe(view::world_view const& world);

    /// Closes connections that have been idle for too long, and forgets servers without any.
    void close_idle();

private:
    [[nodiscard]] std::size_t attempt_limit(std::string const& service) const;
    [[nodiscard]] std::shared_ptr<connection_pool> const& find_pool(std::string const& address,
                                                                    std::uint16_t port);
    void report_attempt(std::uint64_t dispatch, events::attempt_end end, std::string&& answer);
    void observe_unreachable(std::string const& backend_server);
    void observe(connection_pool& pool,
                 std::string const& backend_server,
                 std::optional<server_report> const& report);
    void probe(view::backend_server const& server);
    void count(std::string_view name, std::string_view label, std::string_view value);

    kernel::event_loop& m_loop;
    kernel::metrics& m_counters;
    backend_client_times m_times;
    backend_client_outputs m_outputs;
    // By service: connections that attempts may use at one backend server.
    std::unordered_map<std::string, std::size_t> m_limits;
    // By address and port.
    std::unordered_map<std::string, std::shared_ptr<connection_pool>> m_pools;
};

} // namespace pistachiohub::backend
