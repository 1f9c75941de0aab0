"""A randomized soak test of the program as it runs on the users' platform.

Runs entries, control replicas and agents as processes on loopback with
simulated workers, clients, load balancer and operators, injects faults from
outside the processes and checks what callers and workers observe. Exits with 1
and keeps the folder with the logs if a guarantee was violated.
"""

import argparse
import asyncio
import itertools
import os
import random
import shutil
import sys
import tempfile
import time

from . import deployment
from .callers import Balancer, Client, Evacuator, Operator
from .deployment import Deployment
from .faults import Faults
from .checker import Checker
from .links import LinkProxies
from .worker import Worker

STARTUP_LIMIT_S = 15.0
# Time after the last fault for all processes to be up again and caught up.
RECOVERY_S = 6.0
FAULT_FREE_S = 3.0
# Smallest share of jobs that must be served after the faults (rule RECOVER).
MIN_SERVED_SHARE = 0.25
# Planned stops before the faults, and the time between the starts of two.
PLANNED_STOPS = 5
PLANNED_STOP_INTERVAL_S = 1.2
TASK_MILLICORES = 2000


def parse_options(arguments):
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("program", help="the hickorylatch binary")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="time with faults")
    parser.add_argument("--pause", type=float, default=0.8,
                        help="mean seconds between two faults")
    parser.add_argument("--disks", type=int, default=3)
    parser.add_argument("--others", type=int, default=2)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--per-second", type=float, default=40.0,
                        help="jobs that clients submit")
    parser.add_argument("--folder", help="for logs and data")
    return parser.parse_args(arguments)


async def wait_until(condition, timeout_s, description, checker):
    end = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end:
            checker.report_violation(
                f"not within {timeout_s} s: {description}")
            return False
        await asyncio.sleep(0.1)
    return True


class Soak:
    def __init__(self, options, folder):
        self.options = options
        self.rng = random.Random(options.seed)
        self.checker = Checker()
        address_group, self.address_group_lock = \
            deployment.reserve_address_group()
        self.system = Deployment(options.program, folder, address_group,
                                 options.disks, options.others,
                                 options.workers)
        self.links = LinkProxies({each.listen_ip: each.name
                                  for each in self.system.machines})
        self.workers = [
            Worker("i-" + each.name, each.failure_domain, each.listen_ip,
                   deployment.WORKER_PORT,
                   (each.listen_ip, deployment.CONTROL_PORT), self.checker,
                   16000, random.Random(self.rng.random()))
            for each in self.system.machines if each.is_worker]

    async def run(self):
        for machine in self.system.machines:
            for offset in range(2):
                await self.links.add(machine.name, machine.ip,
                                     deployment.LINK_PORT + offset,
                                     machine.listen_ip)
        for worker in self.workers:
            await worker.start()
        self.system.start()
        try:
            await self.run_phases()
        finally:
            self.system.stop()
            for worker in self.workers:
                if worker.is_up:
                    await worker.crash()

    async def run_phases(self):
        balancer = Balancer(self.system.with_duty("entry"))
        operator = Operator(self.system.with_duty("control"), self.checker,
                            self.rng)
        # Random numbers of its own: kept seeds depend on the shared ones.
        evacuator = Evacuator(operator, self.checker,
                              random.Random(f"evacuator {self.options.seed}"))
        balancer_task = asyncio.create_task(balancer.run())
        if not await operator.change_configuration(STARTUP_LIMIT_S):
            self.checker.report_violation("no configuration was acknowledged")
            return

        async def all_ready():
            return not any(balancer.failed_probes.values())
        if not await wait_until(all_ready, STARTUP_LIMIT_S,
                                "all entries ready", self.checker):
            return
        load_end_time = [float("inf")]
        job_numbers = itertools.count(1)
        client_count = 24
        clients = [Client(balancer, self.checker,
                          random.Random(self.rng.random()), TASK_MILLICORES)
                   for _ in range(client_count)]
        client_tasks = [asyncio.create_task(
            each.run(self.options.per_second / client_count,
                     lambda: load_end_time[0], job_numbers))
            for each in clients]
        faults = Faults(self.system, self.links, self.workers, self.checker,
                        self.rng)
        self.faults = faults
        await asyncio.sleep(1.0)
        await faults.run_planned_stops(PLANNED_STOPS, PLANNED_STOP_INTERVAL_S)
        fault_end_time = time.monotonic() + self.options.seconds
        operator_task = asyncio.create_task(
            operator.run(lambda: fault_end_time))
        evacuator_task = asyncio.create_task(
            evacuator.run(lambda: fault_end_time))
        await faults.run(lambda: fault_end_time, self.options.pause)
        await operator_task
        await evacuator_task
        await asyncio.sleep(RECOVERY_S)
        await self.check_recovery(operator, load_end_time)
        await asyncio.gather(*client_tasks)
        self.checker.check_all_ended()
        balancer_task.cancel()

    async def check_recovery(self, operator, load_end_time):
        """Checks that jobs are served and all replicas answer once the faults
        are over."""
        job_count = len(self.checker.jobs)
        await asyncio.sleep(FAULT_FREE_S)
        jobs = list(self.checker.jobs.values())[job_count:]
        load_end_time[0] = time.monotonic()
        await asyncio.sleep(FAULT_FREE_S)
        served = sum(200 in job.answer_statuses for job in jobs)
        print(f"  served after the faults: {served} of {len(jobs)}")
        if served < MIN_SERVED_SHARE * len(jobs):
            self.checker.report_violation(
                f"only {served} of {len(jobs)} jobs were served after the "
                "faults")
        await operator.change_configuration(5.0)
        await asyncio.sleep(2.5)
        for control in operator.controls:
            async def serves_configuration(control=control):
                return await operator.read_configuration(control) is not None
            await wait_until(serves_configuration, 5.0,
                             f"{control.name} serves the configuration",
                             self.checker)


def print_report(soak, start_time, seed):
    checker = soak.checker
    for start, end, description in sorted(soak.faults.log) if hasattr(
            soak, "faults") else []:
        print(f"  {start - start_time:7.2f} to {end - start_time:7.2f} s  "
              f"{description}")
    print("  " + ", ".join(f"{name}: {count}" for name, count
                           in sorted(checker.counts.items())))
    for at, text in checker.violations:
        print(f"  BROKEN at {at - start_time:7.2f} s: {text}")
    print(f"seed {seed}: " + (f"{len(checker.violations)} broken promises"
                              if checker.violations else "ok"))


def main(arguments):
    options = parse_options(arguments)
    folder = options.folder or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    soak = Soak(options, folder)
    start_time = time.monotonic()
    asyncio.run(soak.run())
    print_report(soak, start_time, options.seed)
    if soak.checker.violations:
        print(f"logs: {folder}")
        return 1
    if not options.folder:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
