#include "fuzz/wire_checks.hpp"

#include <cstddef>
#include <cstdint>

/// Entry point of libFuzzer.
extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                       std::size_t size) -> int
{
    hickorylatch::fuzz::check_message(
        {reinterpret_cast<char const*>(data), size});
    return 0;
}
