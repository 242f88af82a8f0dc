#include "kernel/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
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
    auto& family =
        prometheus::BuildCounter().Name(std::string(name)).Register(m_implementation->registry);
    counter found;
    found.m_counter = &family.Add({{std::string(label.name), std::string(label.value)}});
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
