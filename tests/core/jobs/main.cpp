#define BOOST_TEST_MODULE core_jobs
#include <boost/test/unit_test.hpp>
