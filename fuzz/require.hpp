#ifndef HICKORYLATCH_FUZZ_REQUIRE_HPP
#define HICKORYLATCH_FUZZ_REQUIRE_HPP

#include <stdexcept>

namespace hickorylatch::fuzz
{

/// Throws if a property does not hold, which the fuzzer reports as a crash and
/// the test programs as a failed test.
inline auto require(bool holds, char const* property) -> void
{
    if (!holds)
        throw std::logic_error{property};
}

} // namespace hickorylatch::fuzz

#endif
