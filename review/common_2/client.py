"""Client of the frontends, as PROTOCOL.md describes it."""

import time

from . import system, wire


async def submit(record, edge, job, phases, spec, limit_ms,
                 prefix=system.PREFIX):
    """Hands in a job that needn't be kept. Returns the status, 0 for none."""
    record(f"client sends POST {job} to {edge.name}")
    began = time.monotonic()
    status, body = await wire.call(
        edge.frontend, "POST", prefix + job,
        {"spec": spec, "bestEffort": True, "phases": phases},
        {"Host": system.HOST, "X-Hickorylatch-Deadline-Ms": str(limit_ms)},
        limit_ms / 1000 + 0.2)
    record(f"client got {status} {body} to POST {job} from {edge.name} after "
           f"{(time.monotonic() - began) * 1000:.0f} ms")
    return status


async def cancel(record, edge, job, prefix=system.PREFIX):
    """Cancels a job. Returns the status, 0 for none."""
    record(f"client sends DELETE {job} to {edge.name}")
    status, body = await wire.call(
        edge.frontend, "DELETE", prefix + job, None,
        {"Host": system.HOST, "X-Hickorylatch-Deadline-Ms": "1500"}, 1.7)
    record(f"client got {status} {body} to DELETE {job} from {edge.name}")
    return status
