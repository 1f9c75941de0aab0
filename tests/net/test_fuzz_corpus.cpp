#include "fuzz/wire_checks.hpp"

#include "fuzz/corpus.hpp"

#include <boost/test/unit_test.hpp>

namespace fuzz = hickorylatch::fuzz;

// Guards against inputs that once failed, or nearly did, under fuzz_message.
BOOST_AUTO_TEST_CASE(corpus_of_message)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "message",
                        fuzz::check_message);
}

// Guards against inputs that once failed, or nearly did, under fuzz_frames.
BOOST_AUTO_TEST_CASE(corpus_of_frames)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "frames", fuzz::check_frames);
}
