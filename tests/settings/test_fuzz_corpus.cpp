#include "fuzz/settings_checks.hpp"

#include "fuzz/corpus.hpp"

#include <boost/test/unit_test.hpp>

namespace fuzz = hickorylatch::fuzz;

// Guards against regressions on inputs that failed or nearly failed in
// fuzz_job_record.
BOOST_AUTO_TEST_CASE(corpus_of_job_record)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "job_record",
                        fuzz::check_job_record);
}

// Guards against regressions on inputs that failed or nearly failed in
// fuzz_configuration_record.
BOOST_AUTO_TEST_CASE(corpus_of_configuration_record)
{
    fuzz::replay_corpus(HICKORYLATCH_SOURCE_DIR, "configuration_record",
                        fuzz::check_configuration_record);
}
