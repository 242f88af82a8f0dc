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
    std::string backend_server = {};
    /// Wall clock of the detecting host at the start of the last run of the request on the server,
    /// in milliseconds since the Unix epoch; 0 if unknown.
    std::uint64_t began_at_ms = 0;
    /// The same at the crash.
    std::uint64_t crashed_at_ms = 0;

    friend bool operator==(crash_report const&, crash_report const&) = default;
};

/// A decision on a request that crashed backend servers: all daemons refuse it, or they no longer
/// do. Of several decisions on the same request the newest holds.
struct quarantined_request
{
    std::uint64_t fingerprint = 0;
    /// Wall clock at which the quarantine ends, in milliseconds since the Unix epoch. A release is
    /// kept until then, so that older registrations cannot begin the quarantine again.
    std::uint64_t ends_at_ms = 0;
    /// Orders the decisions: the wall clock of the last crash or answer on which the decision
    /// rests, or more, in milliseconds since the Unix epoch. Above that of the decision replaced.
    std::uint64_t decided_at_ms = 0;
    /// Trials in which a backend server crashed.
    std::uint32_t failed_trials = 0;
    /// Wall clock from which the request may be sent on trial, in milliseconds since the Unix
    /// epoch.
    std::uint64_t trial_opens_at_ms = 0;
    bool is_released = false;
    /// Name of the host.
    std::string decided_by = {};

    friend bool operator==(quarantined_request const&, quarantined_request const&) = default;
};

/// What a daemon tells the others of requests that crash backend servers.
struct crash_knowledge
{
    /// Crashes that it found lately.
    std::vector<crash_report> reports;
    /// Quarantines and releases that it knows of, whoever decided them.
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
