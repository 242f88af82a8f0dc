#pragma once

/// @file
/// The platform's object API as the design page describes it: versions, conditional updates,
/// watches, rate limits and faults.

#include "kernel/clock.hpp"
#include "kernel/error.hpp"
#include "standins/http_server.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <random>
#include <string>

namespace pistachiohub::standins
{

/// Faults and limits, changed by `POST /control`.
struct store_control
{
    /// Every call is refused with 503.
    bool has_outage = false;
    /// Delay before each answer, in milliseconds.
    std::uint32_t slow_ms = 0;
    /// Probability (0 to 1) that the answer to a write is lost after the write took effect.
    double lost_answers = 0;
    /// Calls a second; 0 means no limit.
    double reads_per_second = 2000;
    double writes_per_second = 300;
};

/// The file of initial objects is not valid.
class initial_objects_error : public kernel::error
{
public:
    using error::error;
};

/// A token bucket that holds at most one second's worth of calls.
class call_rate
{
public:
    /// @returns false when the call exceeds `calls_per_second`.
    [[nodiscard]] bool admit(double calls_per_second, kernel::monotonic_time now);

private:
    double m_tokens = 0;
    kernel::monotonic_time m_filled_at;
};

/// The objects, and the answers to calls on them. Has no clock and no socket.
class object_store
{
public:
    /// Sends the answer after `delay_ms`.
    using delayed_responder = std::function<void(http_response, std::uint32_t delay_ms)>;

    explicit object_store(store_control const& control, std::uint64_t seed);

    /// Adds objects from `{"<kind>": {"<name>": <value>}}`.
    /// @throws initial_objects_error when the text is not of that form.
    void load(std::string_view text);

    /// Handles one call; a watch may respond later, from another call or from end_watches().
    void handle(http_request const& request,
                kernel::monotonic_time now,
                delayed_responder const& respond);

    /// Answers watches whose waiting time has ended.
    void end_watches(kernel::monotonic_time now);

private:
    struct object
    {
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        std::string value;
    };

    struct waiting_watch
    {
        std::string kind;
        std::uint64_t after = 0;
        kernel::monotonic_time ends_at;
        delayed_responder respond;
    };

    void handle_object_call(http_request const& request,
                            kernel::monotonic_time now,
                            delayed_responder const& respond);
    [[nodiscard]] http_response get(std::string const& kind, std::string const& name) const;
    [[nodiscard]] http_response list(std::string const& kind, std::uint64_t after) const;
    [[nodiscard]] http_response
    put(std::string const& kind, std::string const& name, http_request const& request);
    void watch(std::string const& kind,
               http_request const& request,
               kernel::monotonic_time now,
               delayed_responder const& respond);
    void answer_watches(std::string const& kind);
    [[nodiscard]] bool has_change(std::string const& kind, std::uint64_t after) const;
    [[nodiscard]] http_response handle_control(http_request const& request);

    store_control m_control;
    std::mt19937_64 m_random;
    std::uint64_t m_revision = 0;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::list<waiting_watch> m_watches;
    call_rate m_reads;
    call_rate m_writes;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counts;
};

} // namespace pistachiohub::standins
