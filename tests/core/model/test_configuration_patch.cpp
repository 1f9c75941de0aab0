#include "core/model/configuration_history.hpp"
#include "core/model/queue_index.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

namespace core = hickorylatch::core;

namespace
{

auto make_queue(unsigned number) -> core::job_queue
{
    auto queue = core::job_queue{};
    queue.m_name = "q" + std::to_string(number);
    queue.m_host = "desk.example";
    queue.m_path_prefix = "/" + queue.m_name + "/";
    queue.m_timeout_ms = 1'500;
    return queue;
}

auto make_configuration(core::configuration_version version, unsigned queues)
    -> core::configuration
{
    auto config = core::configuration{};
    config.m_version = version;
    config.m_document = "what the operator sent";
    for (auto number = 0U; number < queues; ++number)
        config.m_queues.push_back(make_queue(number));
    return config;
}

auto find(core::configuration const& config, std::string_view path)
    -> core::job_queue const*
{
    return core::queue_index{config}.find(config, "desk.example", path);
}

} // namespace

// Guards against sending a configuration of thousands of queues in full to
// every process on each change.
BOOST_AUTO_TEST_CASE(a_patch_holds_what_has_changed)
{
    auto const before = make_configuration(4, 2'000);
    auto after = before;
    after.m_version = 9;
    after.m_queues.erase(after.m_queues.begin() + 7);
    after.m_queues[20].m_timeout_ms = 900;
    after.m_queues.push_back(make_queue(5'000));
    auto const patch = core::make_patch(before, after);
    BOOST_TEST(patch.m_removed.size() == 1U);
    BOOST_TEST(patch.m_changed.size() == 2U);

    auto patched = before;
    BOOST_REQUIRE(core::apply_patch(patched, patch));
    BOOST_TEST(patched.m_version == 9U);
    BOOST_TEST(patched.m_queues.size() == 2'000U);
    BOOST_TEST(find(patched, "/q7/x") == nullptr);
    BOOST_TEST(find(patched, "/q21/x")->m_timeout_ms == 900U);
    BOOST_TEST(find(patched, "/q5000/x") != nullptr);
}

// Guards against applying a patch to another version than its base, which would
// restore removed queues.
BOOST_AUTO_TEST_CASE(a_patch_for_another_version_changes_nothing)
{
    auto const patch =
        core::make_patch(make_configuration(4, 3), make_configuration(5, 1));
    auto other = make_configuration(3, 3);
    BOOST_TEST(!core::apply_patch(other, patch));
    BOOST_TEST(other.m_version == 3U);
    BOOST_TEST(other.m_queues.size() == 3U);
}

// Guards against sending a process with an old version a patch whose base it
// never had.
BOOST_AUTO_TEST_CASE(a_patch_from_a_dropped_version_starts_from_the_empty_one)
{
    auto history = core::configuration_history{};
    BOOST_TEST(history.patch_from(3).m_version == 0U);
    for (auto version = 1U; version <= 9; ++version)
        history.add(make_configuration(version, version));
    BOOST_TEST(history.previous() == 8U);
    BOOST_TEST(history.patch_from(8).m_base == 8U);
    BOOST_TEST(history.patch_from(8).m_changed.size() == 1U);
    BOOST_TEST(history.patch_from(1).m_base == 0U);
    BOOST_TEST(history.patch_from(1).m_changed.size() == 9U);
}

// Guards against routing a job to the queue of a shorter prefix, or to none.
BOOST_AUTO_TEST_CASE(the_queue_with_the_longest_prefix_is_found)
{
    auto config = core::configuration{};
    for (auto const* prefix : {"/a/", "/a/b/", "/a/b/c/d/", "/ab/", "/z/"})
    {
        auto queue = core::job_queue{};
        queue.m_name = prefix;
        queue.m_host = "desk.example";
        queue.m_path_prefix = prefix;
        config.m_queues.push_back(queue);
    }
    BOOST_TEST(find(config, "/a/x")->m_name == "/a/");
    BOOST_TEST(find(config, "/a/b/x")->m_name == "/a/b/");
    BOOST_TEST(find(config, "/a/b/c/x")->m_name == "/a/b/");
    BOOST_TEST(find(config, "/a/b/c/d/x")->m_name == "/a/b/c/d/");
    BOOST_TEST(find(config, "/a/")->m_name == "/a/");
    BOOST_TEST(find(config, "/ab/x")->m_name == "/ab/");
    BOOST_TEST(find(config, "/zz") == nullptr);
    BOOST_TEST(find(config, "/") == nullptr);
    auto const index = core::queue_index{config};
    BOOST_TEST(index.find(config, "other.example", "/a/x") == nullptr);
}
