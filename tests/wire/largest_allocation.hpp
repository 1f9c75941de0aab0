#ifndef HICKORYLATCH_TESTS_WIRE_LARGEST_ALLOCATION_HPP
#define HICKORYLATCH_TESTS_WIRE_LARGEST_ALLOCATION_HPP

#include <cstddef>

namespace hickorylatch::tests
{

/// Largest single allocation in bytes since the last reset.
auto largest_allocation() -> std::size_t;
auto reset_largest_allocation() -> void;

} // namespace hickorylatch::tests

#endif
