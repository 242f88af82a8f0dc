#pragma once

/// @file
/// What the store says of backend servers, entry hosts and evacuations.

#include "kernel/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pistachiohub::fleet
{

/// A backend server as it registered itself.
struct backend_server
{
    std::string id;
    std::string service;
    kernel::endpoint address;
    std::string failure_domain;
    /// Requests that it runs at the same time.
    std::uint32_t slots = 1;
    bool is_leaving = false;
    /// How much longer it stays cold, counted from its last report.
    std::chrono::milliseconds cold_remaining{0};
    /// Wall clock of its start in milliseconds. Another value under the same id is another process.
    std::uint64_t started_at_ms = 0;
    /// Grows with each report of the same process; 0 if it is unknown.
    std::uint64_t report = 0;
};

/// One start of the daemon of an entry host.
struct host_incarnation
{
    std::string name;
    std::uint64_t incarnation = 0;

    friend bool operator==(host_incarnation const&, host_incarnation const&) = default;
};

/// A request that was running at a backend server when that crashed.
struct crash_report
{
    std::uint64_t fingerprint = 0;
    /// `<id>/<start>`: another start of a server is another crash.
    std::string backend_server;

    friend bool operator==(crash_report const&, crash_report const&) = default;
};

/// A request that all daemons refuse.
struct quarantined_request
{
    std::uint64_t fingerprint = 0;
    /// Wall clock at which the quarantine ends, in milliseconds since the Unix epoch.
    std::uint64_t ends_at_ms = 0;

    friend bool operator==(quarantined_request const&, quarantined_request const&) = default;
};

/// What a daemon tells the others of requests that crash backend servers.
struct crash_knowledge
{
    /// Crashes that it found lately.
    std::vector<crash_report> reports;
    /// Quarantines that it knows of, whoever found the crashes.
    std::vector<quarantined_request> quarantines;

    friend bool operator==(crash_knowledge const&, crash_knowledge const&) = default;
};

/// An entry host as its daemon registered itself.
struct entry_host
{
    std::string name;
    /// Where callers connect.
    kernel::endpoint callers;
    /// Where other daemons read the store's changes, on the same address; 0 if nowhere.
    std::uint16_t relay_port = 0;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0;
    /// Grows with each report of the same incarnation.
    std::uint64_t report = 0;
    bool is_leaving = false;
    /// Weight among the entry hosts of its failure domain.
    double capacity = 1;
    /// Daemons that read the store through this one and were running at its report. They report
    /// rarely themselves.
    std::vector<host_incarnation> followers;
    crash_knowledge crashes;
};

} // namespace pistachiohub::fleet
