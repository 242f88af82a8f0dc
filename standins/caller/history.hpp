#pragma once

/// @file
/// The history that the stand-in caller writes: one JSON line for each call and for each id.

#include "libraries/caller/caller.hpp"

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace pistachiohub::standins
{

/// A finished call.
struct finished_call
{
    std::string name;
    std::string service;
    std::string kind;
    std::string body;
    std::uint64_t started_ms = 0;
    std::uint64_t ended_ms = 0;
    kernel::duration latency{};
    caller::call_result result;
};

/// The history file cannot be written.
class history_error : public kernel::error
{
public:
    using error::error;
};

/// Writes the history and keeps latencies; thread-safe.
class history
{
public:
    /// @throws history_error when the file cannot be written.
    explicit history(std::string const& path);

    /// Writes the lines of one call.
    void add(finished_call const& call);

    /// @returns a JSON object with the number of calls by outcome and the latency of answered
    /// calls in milliseconds: p50, p99 and p99.9.
    [[nodiscard]] std::string summary();

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::vector<double> m_latencies_ms;
    std::uint64_t m_ran = 0;
    std::uint64_t m_not_run = 0;
    std::uint64_t m_unresolved = 0;
    std::uint64_t m_wrong_answers = 0;
};

} // namespace pistachiohub::standins
