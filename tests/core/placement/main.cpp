#define BOOST_TEST_MODULE core_placement
#include <boost/test/unit_test.hpp>
