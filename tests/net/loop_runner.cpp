#include "net/loop_runner.hpp"

#include <event2/event.h>

namespace net = hickorylatch::net;

auto run_until(net::event_loop& loop, std::function<bool()> const& condition)
    -> bool
{
    auto const deadline = loop.now() + patience;
    // Bounds one turn, so that a condition without a further event is seen.
    auto const turn = timeval{0, 20'000};
    while (!condition())
    {
        if (loop.now() > deadline)
            return false;
        event_base_loopexit(loop.base(), &turn);
        event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    }
    return true;
}
