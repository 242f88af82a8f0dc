#include "bench/allocation_count.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::size_t> allocations{0};

} // namespace

// The replacement is in the benchmarks and not in the tests, because it would hide allocations from
// AddressSanitizer.
void* operator new(std::size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* const memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace pistachiohub::bench
{

std::size_t allocation_count()
{
    return allocations.load();
}

} // namespace pistachiohub::bench
