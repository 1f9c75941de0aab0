"""All machines with a disk lose power while replicas remove old log files."""

import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "common_3"))
from standins import *  # noqa: E402,F403

ROUTES = 353  # big_config adds 350
CHANGES = 900
SYNC_S = 0.009  # a sync of the disks on the sheet
RESTARTS = 4
READ_BACK_S = 20.0


class PowerCut(threading.Thread):
    """Cuts the power of all replicas while at least two of them have removed
    log files for no longer than a sync takes."""

    def __init__(self, replicas, copies):
        super().__init__(daemon=True)
        self.replicas = replicas
        self.copies = copies
        self.logs = {each: set() for each in replicas}
        self.removed = {each: set() for each in replicas}
        self.removed_at = {}
        self.done = threading.Event()
        self.stopped = False

    def list(self, replica):
        return {name for name in os.listdir(replica.data)
                if name.startswith("log-") and not name.endswith(".tmp")}

    def run(self):
        while not self.stopped:
            for replica in self.replicas:
                self.look(replica)
            now = time.monotonic()
            for replica, since in list(self.removed_at.items()):
                if now - since > SYNC_S:
                    del self.removed_at[replica]
                    self.removed[replica] = set()
            if sum(len(self.removed[each]) > 1 for each in self.replicas) > 1:
                for replica in self.replicas:
                    os.kill(replica.child.pid, signal.SIGKILL)
                for replica in self.replicas:
                    replica.child.wait()
                    self.look(replica)
                self.done.set()
                return

    def look(self, replica):
        names = self.list(replica)
        if names == self.logs[replica]:
            return
        for name in names - self.logs[replica]:
            # The disk keeps the contents of a removed file until the removal
            # is durable.
            try:
                os.link(os.path.join(replica.data, name),
                        self.copy(replica, name))
            except FileNotFoundError:
                names.discard(name)
        gone = self.logs[replica] - names
        if gone:
            self.removed[replica] |= gone
            self.removed_at.setdefault(replica, time.monotonic())
        self.logs[replica] = names

    def copy(self, replica, name):
        return os.path.join(self.copies, f"{replica.machine.name}-{name}")


def content(version):
    routes = [route("r-1")]
    routes += [route(f"r-x{number}", f"/x{number:04}/") for number in
               range(ROUTES - 1)]
    routes[1]["timeoutMs"] = 1500 + version
    return configuration(version, routes)


async def read_back(deployment, limit_s):
    """The newest version that any control process returns; 0 if none does."""
    record = deployment.record
    newest = 0
    until = time.monotonic() + limit_s
    answers = {}
    while time.monotonic() < until and not newest:
        for control in deployment.with_role("control"):
            status, answer = await http(control.machine.ip, CONTROL_PORT,
                                        "GET", "/api/config")
            answers[control.name] = status or answer
            if status == 200:
                newest = max(newest, json.loads(answer)["version"])
        await asyncio.sleep(0.2)
    record.write(f"read back: version {newest}, last answers {answers}")
    return newest


async def main(record, trouble):
    deployment = Deployment(record, disks=3, workers=0)
    cut = None
    try:
        deployment.start()
        controls = deployment.with_role("control")
        if not await put_configuration(deployment, content(1)):
            raise CannotRun("no configuration")
        copies = os.path.join(deployment.folder, "copies")
        os.mkdir(copies)
        if trouble:
            cut = PowerCut(controls, copies)
            cut.start()
        acknowledged = 1
        for version in range(2, CHANGES if trouble else 110):
            if cut is not None and cut.done.is_set():
                break
            status, answer = await http(
                controls[version % 3].machine.ip, CONTROL_PORT, "PUT",
                "/api/config", content(version))
            if status == 200:
                acknowledged = version
        record.write(f"last acknowledged version: {acknowledged}")
        if not trouble:
            return await read_back(deployment, READ_BACK_S) >= acknowledged
        if not cut.done.is_set():
            raise CannotRun("the power was never cut at the moment")
        record.write("power cut of all machines with a disk")
        for replica in controls:
            removed = sorted(cut.removed[replica])
            record.write(f"{replica.name} had removed {removed} without a "
                         "sync of the folder")
            if len(removed) > 1:
                # Each removal is kept or lost independently.
                os.rename(cut.copy(replica, removed[0]),
                          os.path.join(replica.data, removed[0]))
                record.write(f"{replica.name}: the removal of {removed[0]} "
                             "was lost, the others were kept")
        for replica in controls:
            replica.start(bootstrap=False)
        for _ in range(RESTARTS):
            await asyncio.sleep(1.0)
            for replica in controls:
                if not replica.is_running():
                    record.write(f"{replica.name} ended by itself with "
                                 f"{replica.child.poll()}")
                    replica.start(bootstrap=False)
        for replica in controls:
            with open(replica.log) as log:
                lines = [line for line in log.read().splitlines()
                         if "missing" in line]
            record.write(f"{replica.name}: {lines[-1] if lines else 'runs'}")
        return await read_back(deployment, READ_BACK_S) >= acknowledged
    finally:
        if cut is not None:
            cut.stopped = True
            cut.join(5)
        deployment.close()


run_case(main)
