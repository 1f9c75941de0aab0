#define BOOST_TEST_MODULE experiment
#include <boost/test/unit_test.hpp>
