#define BOOST_TEST_MODULE core_roles
#include <boost/test/unit_test.hpp>
