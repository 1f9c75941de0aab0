#include "net/byte_stream.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hickorylatch::net
{

namespace
{

// A connection that is lost without a FIN or RST is detected within 10 s: by
// keepalive probes on an idle link (3 + 3 * 2 s) and by the timeout for
// unacknowledged data on a busy one.
constexpr auto keepalive_idle_s = 3;
constexpr auto keepalive_interval_s = 2;
constexpr auto keepalive_probes = 3;
constexpr auto user_timeout_ms = 9'000;

auto set_option(int socket, int level, int option, int value) -> void
{
    setsockopt(socket, level, option, &value, sizeof value);
}

} // namespace

auto set_link_options(int socket) -> void
{
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

} // namespace hickorylatch::net
