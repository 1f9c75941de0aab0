#define BOOST_TEST_MODULE core_dispatch
#include <boost/test/unit_test.hpp>
