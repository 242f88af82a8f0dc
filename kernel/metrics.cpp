#include "kernel/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cassert>

namespace pistachiohub::kernel
{

struct metrics::implementation
{
    prometheus::Registry registry;
};

void counter::increment(double amount)
{
    assert(m_counter != nullptr && amount >= 0);
    static_cast<prometheus::Counter*>(m_counter)->Increment(amount);
}

double counter::value() const
{
    assert(m_counter != nullptr);
    return static_cast<prometheus::Counter const*>(m_counter)->Value();
}

void latency_histogram::observe(double seconds)
{
    assert(m_histogram != nullptr);
    static_cast<prometheus::Histogram*>(m_histogram)->Observe(seconds);
}

metrics::metrics()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics::~metrics() = default;

counter metrics::find_counter(std::string_view name)
{
    auto& family =
        prometheus::BuildCounter().Name(std::string(name)).Register(m_implementation->registry);
    counter found;
    found.m_counter = &family.Add({});
    return found;
}

counter metrics::find_counter(std::string_view name, metric_label label)
{
    return find_counter(name, std::initializer_list<metric_label>{label});
}

counter metrics::find_counter(std::string_view name, std::initializer_list<metric_label> labels)
{
    auto& family =
        prometheus::BuildCounter().Name(std::string(name)).Register(m_implementation->registry);
    prometheus::Labels own;
    for (auto const& label : labels)
        own.emplace(label.name, label.value);
    counter found;
    found.m_counter = &family.Add(own);
    return found;
}

latency_histogram metrics::find_latency(std::string_view name, metric_label label)
{
    static prometheus::Histogram::BucketBoundaries const bounds{
        0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0};
    auto& family =
        prometheus::BuildHistogram().Name(std::string(name)).Register(m_implementation->registry);
    latency_histogram found;
    found.m_histogram = &family.Add({{std::string(label.name), std::string(label.value)}}, bounds);
    return found;
}

void metrics::set_gauge(std::string_view name, double value)
{
    auto& family =
        prometheus::BuildGauge().Name(std::string(name)).Register(m_implementation->registry);
    family.Add({}).Set(value);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace pistachiohub::kernel
