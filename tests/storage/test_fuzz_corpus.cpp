#include "fuzz/storage_checks.hpp"

#include "fuzz/corpus.hpp"

#include <boost/test/unit_test.hpp>

namespace fuzz = hickorylatch::fuzz;

// Guards against regressions on inputs that failed or nearly failed in
// fuzz_log.
BOOST_AUTO_TEST_CASE(corpus_of_log)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "log", fuzz::check_log);
}

// Guards against regressions on inputs that failed or nearly failed in
// fuzz_snapshot.
BOOST_AUTO_TEST_CASE(corpus_of_snapshot)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "snapshot",
                        fuzz::check_snapshot);
}
