#include "storage/benchmark_command.hpp"

#include <string>
#include <vector>

auto main(int argc, char** argv) -> int
{
    auto const arguments = std::vector<std::string>(argv + 1, argv + argc);
    return hickorylatch::storage::storage_benchmark_main(arguments);
}
