#define BOOST_TEST_MODULE worker_model
#include <boost/test/unit_test.hpp>
