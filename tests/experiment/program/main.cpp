#include "experiment/command.hpp"

#include <string>
#include <vector>

auto main(int count, char** values) -> int
{
    auto const arguments = std::vector<std::string>(values, values + count);
    return hickorylatch::experiment::experiment_main(arguments);
}
