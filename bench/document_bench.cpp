#include "libraries/configuration/document.hpp"
#include "libraries/messages/codec.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace pistachiohub::bench
{

namespace
{

constexpr std::string_view key = "document-bench-peer-key";

std::string block_text(std::size_t number)
{
    return "10." + std::to_string(number / 256) + '.' + std::to_string(number % 256) + ".0/24";
}

// Blocks of a /24 each, as a failure domain's clients would be described.
std::string make_document(std::size_t blocks)
{
    std::string text =
        R"({"version":1,"patch_id":"initial","regions":{"region-1":)"
        R"({"failure_domains":{"domain-1":{"entry_hosts":54}}}},"services":{"lookup":)"
        R"({"kind":"idempotent","slots":4,"connections":300}},"client_blocks":{)";
    for (std::size_t number = 0; number < blocks; ++number)
    {
        text += number == 0 ? "\"" : ",\"";
        text += block_text(number) + R"(":"domain-1")";
    }
    return text + "}}";
}

void parse_document(benchmark::State& state)
{
    auto const text = make_document(static_cast<std::size_t>(state.range(0)));
    while (state.KeepRunning())
        benchmark::DoNotOptimize(configuration::parse_configuration(text));
    state.counters["bytes"] = static_cast<double>(text.size());
}

BENCHMARK(parse_document)->Arg(0)->Arg(1000)->Arg(10000)->Arg(30000)->Unit(benchmark::kMicrosecond);

void send_document(benchmark::State& state)
{
    messages::configuration_document const content{
        1, make_document(static_cast<std::size_t>(state.range(0)))};
    std::size_t bytes = 0;
    while (state.KeepRunning())
    {
        auto const encoded = messages::encode({"host-1", 1, 1, 0, content}, key);
        bytes = encoded.size();
        benchmark::DoNotOptimize(messages::decode(encoded, key));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(send_document)->Arg(0)->Arg(1000)->Arg(10000)->Arg(30000)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace pistachiohub::bench
