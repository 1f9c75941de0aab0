#ifndef HICKORYLATCH_FUZZ_CORPUS_HPP
#define HICKORYLATCH_FUZZ_CORPUS_HPP

#include "fuzz/require.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace hickorylatch::fuzz
{

/// Runs a check on each input in the committed corpus of a fuzz target.
template <typename Check>
auto replay_corpus(std::filesystem::path const& source_folder,
                   std::string_view target, Check&& check) -> void
{
    auto count = 0;
    for (auto const& file : std::filesystem::directory_iterator{
             source_folder / "fuzz" / "corpus" / target})
    {
        auto in = std::ifstream{file.path(), std::ios::binary};
        check(std::string{std::istreambuf_iterator<char>{in}, {}});
        ++count;
    }
    require(count > 0, "the corpus is empty");
}

} // namespace hickorylatch::fuzz

#endif
