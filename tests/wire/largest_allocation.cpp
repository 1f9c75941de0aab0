#include "largest_allocation.hpp"

#include <algorithm>
#include <cstdlib>
#include <new>

namespace
{

thread_local auto largest = std::size_t{0};

} // namespace

namespace hickorylatch::tests
{

auto largest_allocation() -> std::size_t
{
    return largest;
}

auto reset_largest_allocation() -> void
{
    largest = 0;
}

} // namespace hickorylatch::tests

auto operator new(std::size_t size) -> void*
{
    largest = std::max(largest, size);
    if (auto* const memory = std::malloc(size))
        return memory;
    throw std::bad_alloc{};
}

auto operator delete(void* memory) noexcept -> void
{
    std::free(memory);
}

auto operator delete(void* memory, std::size_t) noexcept -> void
{
    std::free(memory);
}
