#include "fuzz/wire_checks.hpp"

#include "fuzz/corpus.hpp"

#include <boost/test/unit_test.hpp>

namespace fuzz = hickorylatch::fuzz;

// Guards against regressions on committed inputs of fuzz_message, of which some
// once failed or nearly did.
BOOST_AUTO_TEST_CASE(corpus_of_message)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "message",
                        fuzz::check_message);
}

// Guards against regressions on committed inputs of fuzz_frames, of which some
// once failed or nearly did.
BOOST_AUTO_TEST_CASE(corpus_of_frames)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "frames", fuzz::check_frames);
}
