#define BOOST_TEST_MODULE core_replication
#include <boost/test/unit_test.hpp>
