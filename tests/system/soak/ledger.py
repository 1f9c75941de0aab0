"""What callers and workers see, checked against the promises while it happens."""

import collections
import json
import time

# The platform's bounds that the deployment's settings name.
DRAIN_S = 2.0
# Beyond the bound: the way of a report from the worker to its agent.
SLACK_S = 0.3


class Job:
    def __init__(self, number, tasks, ms, cpu):
        self.id = f"{number:016x}"
        self.tasks = tasks
        self.ms = ms
        self.cpu = cpu
        self.spec = json.dumps({"job": self.id, "ms": ms})
        self.starts = 0
        self.done = collections.Counter()
        # Answers of all tries: a status, or None if there was none.
        self.answers = []
        self.is_open = True

    def body(self):
        return json.dumps({"spec": self.spec, "bestEffort": True, "phases": [
            {"count": self.tasks, "cpu": self.cpu, "memMb": 64,
             "estimatedMs": self.ms}]}).encode()

    def was_refused(self):
        return not self.is_open and bool(self.answers) and all(
            status in (429, 503, 404) for status in self.answers)


class Ledger:
    """Knows all jobs, runs and configurations, and keeps each broken promise."""

    def __init__(self):
        self.jobs = {}
        self.broken = []
        self.at_work = collections.defaultdict(dict)
        self.acknowledged = []
        self.counts = collections.Counter()
        # Only planned stops and changes are going on.
        self.is_planned = False

    def breach(self, text):
        self.broken.append((time.monotonic(), text))

    def submitted(self, job):
        self.jobs[job.id] = job

    # Workers.

    def started(self, worker, run, spec):
        self.counts["starts"] += 1
        task = run["task"]
        job = self.jobs.get(task.split(".")[0])
        if job is None or job.spec != spec:
            self.breach(f"UNASKED {task} at {worker.name}")
            return {"ms": 1}
        if job.was_refused():
            self.breach(f"REFUSED {task} started after {job.answers}")
        job.starts += 1
        others = [name for name in self.at_work[task] if name != worker.name]
        if others:
            self.breach(f"TWICE {task} at {worker.name} beside {others}")
        self.at_work[task][worker.name] = run
        used = job.cpu + sum(self.cpu_of(each) for each in
                             worker.running.values())
        if used > worker.capacity:
            self.breach(f"LIMIT {worker.name} {used} of {worker.capacity}")
        told_at = worker.drain_told_at
        if told_at is not None and \
                time.monotonic() > told_at + DRAIN_S + SLACK_S:
            self.breach(f"DRAIN {task} at {worker.name}")
        return json.loads(spec)

    def cpu_of(self, run):
        return self.jobs[run["task"].split(".")[0]].cpu

    def ended(self, worker, run, how):
        self.counts["run " + how] += 1
        self.at_work[run["task"]].pop(worker.name, None)
        if how == "done":
            self.jobs[run["task"].split(".")[0]].done[run["task"]] += 1

    def noted(self, end):
        self.counts["ends noted"] += 1

    # Callers.

    def answered(self, job, status, body):
        """A whole answer arrived."""
        self.counts[f"answer {status}"] += 1
        job.answers.append(status)
        if status == 200:
            state = json.loads(body).get("state")
            if state == "completed" and len(job.done) != job.tasks:
                self.breach(f"MIXED {job.id} completed with {len(job.done)} "
                            f"of {job.tasks} tasks done")
        elif status in (429, 503, 404) and job.starts and \
                all(each in (429, 503, 404) for each in job.answers):
            self.breach(f"REFUSED {job.id} told not run, {job.starts} starts")

    def unanswered(self, job, why):
        self.counts["answer " + why] += 1
        job.answers.append(None)
        if self.is_planned:
            self.breach(f"LOST {job.id} {why} around planned stops")

    # Operators.

    def configured(self, version):
        self.acknowledged.append((time.monotonic(), version))

    def read(self, where, sent_at, version, bound_s):
        """A configuration that was read back."""
        newest = max((each for at, each in self.acknowledged
                      if at + bound_s < sent_at), default=0)
        if version < newest:
            self.breach(f"CONFIG {where} gave {version}, acknowledged "
                        f"was {newest}")
