#ifndef HICKORYLATCH_SETTINGS_CONTENT_DIGEST_HPP
#define HICKORYLATCH_SETTINGS_CONTENT_DIGEST_HPP

#include "core/model/submission.hpp"

#include <cstdint>

namespace hickorylatch::settings
{

/// Digest of the content of a request or job, to distinguish a resend from a
/// reused key. It excludes what may differ between resends: key, submission
/// time, deadline, trace context and schema version. The result is the same in
/// every process, on every platform and in every release.
///
/// 64-bit FNV-1a over length-prefixed fields. `std::hash` and
/// Boost.ContainerHash give other values in other releases. A cryptographic
/// digest is not needed: a customer can only collide with its own keys.
[[nodiscard]] auto content_digest(core::submission const& content)
    -> std::uint64_t;

} // namespace hickorylatch::settings

#endif
