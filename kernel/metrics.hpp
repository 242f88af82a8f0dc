#pragma once

/// @file
/// Counters and gauges over prometheus-cpp, which stays inside the implementation file.

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace pistachiohub::kernel
{

/// A label of a metric.
struct metric_label
{
    std::string_view name;
    std::string_view value;
};

/// A handle to one counter; cheap to increment from any thread.
class counter
{
public:
    /// Adds `amount`, which must not be negative.
    void increment(double amount = 1);

    /// @returns the current value.
    [[nodiscard]] double value() const;

private:
    friend class metrics;
    void* m_counter = nullptr;
};

/// A handle to one histogram of times.
class latency_histogram
{
public:
    /// Adds one observation, in seconds.
    void observe(double seconds);

private:
    friend class metrics;
    void* m_histogram = nullptr;
};

/// The registry of a daemon's metrics; all calls are thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// @returns the counter `name`, made on first use.
    [[nodiscard]] counter find_counter(std::string_view name);

    /// @returns the counter `name` with one label, made on first use.
    [[nodiscard]] counter find_counter(std::string_view name, metric_label label);

    /// @returns the counter `name` with several labels, made on first use.
    [[nodiscard]] counter find_counter(std::string_view name,
                                       std::initializer_list<metric_label> labels);

    /// @returns the histogram `name` with one label, made on first use. Its bounds reach from 5 ms
    /// to 10 s.
    [[nodiscard]] latency_histogram find_latency(std::string_view name, metric_label label);

    /// Sets the gauge `name`.
    void set_gauge(std::string_view name, double value);

    /// @returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace pistachiohub::kernel
