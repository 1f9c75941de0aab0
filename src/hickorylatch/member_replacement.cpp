#include "hickorylatch/member_replacement.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

namespace hickorylatch::program
{

namespace
{

namespace json = boost::json;

// A learner is promoted only once it has the whole state, so promotion is
// retried.
constexpr auto max_promotion_attempts = 240;
constexpr auto promotion_retry_interval = std::chrono::milliseconds{500};

auto read_status(operator_client& client) -> std::optional<json::object>
{
    auto const answer = client.get("/v1/status");
    auto error = boost::system::error_code{};
    auto status = json::parse(answer.m_answer.m_body, error);
    if (error || !status.is_object() || !status.as_object().contains("node"))
        return std::nullopt;
    return std::move(status.as_object());
}

auto find_member(json::array& members, std::string_view node) -> json::object*
{
    for (auto& each : members)
    {
        if (each.at("node").as_string() == node)
            return &each.as_object();
    }
    return nullptr;
}

auto remove_member(json::array& members, std::string_view node) -> void
{
    for (auto each = members.begin(); each != members.end();)
        each = each->at("node").as_string() == node ? members.erase(each)
                                                    : each + 1;
}

} // namespace

member_replacement::member_replacement(operator_client& leader_client,
                                       operator_client& new_replica_client)
    : m_leader_client{leader_client}, m_new_replica_client{new_replica_client}
{
}

auto member_replacement::run(std::string_view old_node,
                             std::string_view request_id) -> std::string
{
    m_request_id = request_id;
    auto group = read_status(m_leader_client);
    auto new_replica = read_status(m_new_replica_client);
    if (!group || !new_replica)
        return "the status of the group or of the new replica can't be read";
    auto& members = group->at("members").as_array();
    auto const node = std::string{new_replica->at("node").as_string()};
    auto const* address = new_replica->if_contains("address");
    if (address == nullptr || address->as_string().empty())
        return "the new process is not a control replica";
    if (find_member(members, node) == nullptr)
    {
        members.push_back(json::object{
            {"node", node}, {"address", *address}, {"votes", false}});
        if (auto error = change_members("join", json::serialize(members));
            !error.empty())
            return error;
    }
    find_member(members, node)->at("votes") = true;
    auto error = std::string{"not tried"};
    for (auto attempt = 0; !error.empty() && attempt < max_promotion_attempts;
         ++attempt)
    {
        error = change_members("vote-" + std::to_string(attempt),
                               json::serialize(members));
        if (!error.empty())
            std::this_thread::sleep_for(promotion_retry_interval);
    }
    if (!error.empty())
        return error;
    remove_member(members, old_node);
    return change_members("leave", json::serialize(members));
}

auto member_replacement::change_members(std::string_view step,
                                        std::string_view members) -> std::string
{
    auto const body = "{\"request_id\":" +
                      json::serialize(m_request_id + "/" + std::string{step}) +
                      ",\"members\":" + std::string{members} + "}";
    auto const answer = m_leader_client.post("/v1/members", body);
    if (answer.m_run == core::run_state::ran && answer.m_answer.m_status == 200)
        return {};
    return std::string{step} + ": " +
           (answer.m_error.empty() ? answer.m_answer.m_body : answer.m_error);
}

} // namespace hickorylatch::program
