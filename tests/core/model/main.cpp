#define BOOST_TEST_MODULE core_model
#include <boost/test/unit_test.hpp>
