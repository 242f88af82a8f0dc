#pragma once

/// @file
/// A fleet of control states over a simulated network and clock.

#include "plugins/membership/control_state.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pistachiohub::testing
{

/// One simulated daemon.
struct simulated_daemon
{
    kernel::settings settings;
    std::unique_ptr<membership::control_state> state;
    std::uint64_t incarnation = 0;
    bool is_running = false;
    bool is_frozen = false;
    bool is_draining = false;
    std::shared_ptr<view::world_view const> world;
    /// Highest configuration version published by this incarnation.
    std::uint64_t highest_version = 0;
    /// True if a published version was ever lower than an earlier one.
    bool has_reverted = false;
    std::size_t publications = 0;
    std::size_t list_requests_sent = 0;
    std::size_t store_polls = 0;
};

/// Delivers messages with random delays, over links that a test may cut.
class fleet
{
public:
    /// @param domains failure domains; the region is the part before the dash.
    fleet(std::vector<std::string> domains, std::size_t hosts_in_domain, std::uint64_t seed);

    /// Starts (or restarts, with a new incarnation) a daemon.
    void start(std::string const& name);
    void kill(std::string const& name);
    void advance(kernel::duration time);
    void publish_configuration(std::string const& name, std::uint64_t version);
    /// Reads all host lists from the simulated store.
    void send_host_list(std::string const& name);
    /// Lists a backend server as leaving, at the store's next revision.
    void list_leaving(std::string const& backend_server);
    /// Polls the simulated store with an empty result or with the list of `domain`.
    void poll_store(std::string const& name, std::string const& domain = {});

    [[nodiscard]] simulated_daemon& at(std::string const& name);
    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] kernel::monotonic_time now() const;

    /// @returns what `observer` believes of `host`.
    [[nodiscard]] view::member_state state(std::string const& observer, std::string const& host);

    /// Tells whether a message may pass; all may by default.
    std::function<bool(std::string const&, std::string const&)> is_connected;

private:
    struct message_in_flight
    {
        std::string sender;
        std::uint64_t sender_incarnation = 0;
        std::uint64_t version = 0;
        events::peer_command command;
    };

    void step();
    void run(simulated_daemon& daemon);
    void deliver(message_in_flight const& message);
    [[nodiscard]] events::host_list_received make_list(std::string const& domain) const;
    [[nodiscard]] events::configuration_received make_configuration(std::uint64_t version) const;

    std::vector<std::string> m_domains;
    std::map<std::string, simulated_daemon> m_daemons;
    std::multimap<kernel::monotonic_time, message_in_flight> m_network;
    std::mt19937_64 m_random;
    kernel::monotonic_time m_now{std::chrono::hours(1)};
    std::uint64_t m_next_incarnation = 1;
    std::uint64_t m_revision = 1;
    std::set<std::string> m_leaving_servers;
};

} // namespace pistachiohub::testing
