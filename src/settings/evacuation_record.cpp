#include "settings/evacuation_record.hpp"

#include "core/model/stable_hash.hpp"
#include "settings/error_collector.hpp"
#include "settings/json_document.hpp"
#include "settings/object_reader.hpp"
#include "settings/record_schema.hpp"

#include <string>

namespace hickorylatch::settings
{

auto parse_evacuation_record(std::string_view json)
    -> boost::leaf::result<core::set_evacuation>
{
    constexpr auto required = presence::required;
    auto errors = error_collector{"evacuation record"};
    auto const document = json_document{json, json_syntax::strict, errors};
    auto root = document.root();
    if (!root || read_schema_version(*root) == 0)
        return boost::leaf::new_error(errors.take());
    auto request_id = std::string{};
    auto out = core::set_evacuation{};
    root->read_name("request_id", required, request_id);
    root->read_name("failure_domain", required, out.m_failure_domain);
    root->read_bool("evacuated", required, out.m_is_evacuated);
    root->reject_unknown_keys();
    if (errors.has_errors())
        return boost::leaf::new_error(errors.take());
    out.m_number = core::stable_hash(
        request_id,
        (out.m_is_evacuated ? "evacuate " : "restore ") + out.m_failure_domain);
    return out;
}

} // namespace hickorylatch::settings
