#include "core/model/message.hpp"

#include <array>

namespace hickorylatch::core
{

auto message_name(message const& content) -> std::string_view
{
    return message_name(content.index());
}

auto message_name(std::size_t alternative) -> std::string_view
{
    static constexpr auto names =
        std::to_array<std::string_view>({"hello",
                                         "submit",
                                         "cancel",
                                         "submit_result",
                                         "not_leader",
                                         "operate",
                                         "operate_result",
                                         "announce",
                                         "welcome",
                                         "start",
                                         "finished",
                                         "stop_attempt",
                                         "forget",
                                         "renew",
                                         "renewed",
                                         "configuration_changed",
                                         "vote_request",
                                         "vote_reply",
                                         "append_request",
                                         "append_reply",
                                         "install_snapshot",
                                         "install_reply",
                                         "found_group",
                                         "hand_over",
                                         "process_list",
                                         "worker_announcement",
                                         "worker_load",
                                         "contact_confirmed",
                                         "order_runs",
                                         "withdraw_runs",
                                         "runs_ended",
                                         "reserve_room",
                                         "offer_room",
                                         "decline_room",
                                         "release_room",
                                         "reservation_dropped",
                                         "lead_jobs",
                                         "configuration_notice",
                                         "fetch_configuration",
                                         "configuration_patch",
                                         "claim_job",
                                         "claim_answer",
                                         "yield_job",
                                         "job_yielded",
                                         "evacuations"});
    static_assert(names.size() == std::variant_size_v<message>);
    return names.at(alternative);
}

} // namespace hickorylatch::core
