#define BOOST_TEST_MODULE observe
#include <boost/test/unit_test.hpp>
