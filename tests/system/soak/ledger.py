"""What callers and workers see, checked against the promises while it happens."""

import collections
import json
import time

# The platform's bounds that the deployment's settings name.
DRAIN_S = 2.0
# Beyond the bound: the way of a report from the worker to its agent.
SLACK_S = 0.3


# A task of a cancelled job may start for so long after the answer.
CANCEL_S = 3.0
RUN_LIMIT = 3
NOT_RUN = (429, 503, 404)


class Job:
    def __init__(self, number, tasks, ms, cpu, is_durable):
        self.id = f"{number:016x}"
        self.is_durable = is_durable
        self.tasks = tasks
        self.ms = ms
        self.cpu = cpu
        self.spec = json.dumps({"job": self.id, "ms": ms})
        self.starts = 0
        self.done = collections.Counter()
        # Answers of all tries: a status, or None if there was none.
        self.answers = []
        self.is_open = True
        # Of a durable job.
        self.is_accepted = False
        self.state = None
        self.cancelled_at = None
        self.failures = collections.Counter()

    def body(self):
        body = {"spec": self.spec, "phases": [
            {"count": self.tasks, "cpu": self.cpu, "memMb": 64,
             "estimatedMs": self.ms}]}
        if not self.is_durable:
            body["bestEffort"] = True
        return json.dumps(body).encode()

    def was_refused(self):
        return not self.is_open and bool(self.answers) and all(
            status in NOT_RUN for status in self.answers)


class End:
    """The end of a run, as its worker listed it."""

    def __init__(self, worker, run, how):
        self.worker = worker
        self.task = run["task"]
        self.how = how
        self.at = time.monotonic()
        self.is_noted = False
        # Starts of the task since, that are wrong if the end is noted.
        self.later_starts = []


class Ledger:
    """Knows all jobs, runs and configurations, and keeps each broken promise."""

    def __init__(self):
        self.jobs = {}
        self.broken = []
        self.at_work = collections.defaultdict(dict)
        self.acknowledged = []
        # Ends of durable jobs' tasks that were done.
        self.done_ends = collections.defaultdict(list)
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
        if job.is_durable:
            self.check_durable_start(worker, job, task)
        used = job.cpu + sum(self.cpu_of(each) for each in
                             worker.running.values())
        if used > worker.capacity:
            self.breach(f"LIMIT {worker.name} {used} of {worker.capacity}")
        told_at = worker.drain_told_at
        if told_at is not None and \
                time.monotonic() > told_at + DRAIN_S + SLACK_S:
            self.breach(f"DRAIN {task} at {worker.name}")
        return json.loads(spec)

    def check_durable_start(self, worker, job, task):
        for end in self.done_ends[task]:
            end.later_starts.append(worker.name)
            if end.is_noted:
                self.breach(f"TWICE {task} at {worker.name} after it was done "
                            f"at {end.worker.name}")
        if job.failures[task] >= RUN_LIMIT:
            self.breach(f"BUDGET {task} at {worker.name} after "
                        f"{job.failures[task]} failures")
        if job.cancelled_at is not None and \
                time.monotonic() > job.cancelled_at + CANCEL_S:
            self.breach(f"UNASKED {task} at {worker.name} after the job was "
                        "cancelled")

    def cpu_of(self, run):
        return self.jobs[run["task"].split(".")[0]].cpu

    def ended(self, worker, run, how):
        self.counts["run " + how] += 1
        self.at_work[run["task"]].pop(worker.name, None)
        job = self.jobs[run["task"].split(".")[0]]
        end = End(worker, run, how)
        if how == "done":
            job.done[run["task"]] += 1
            if job.is_durable:
                self.done_ends[run["task"]].append(end)
        return end

    def noted(self, end, lapsed_at):
        """The worker was told to forget the end. An end counts as noted unless
        the worker's lease has lapsed since."""
        self.counts["ends noted"] += 1
        if end.at < lapsed_at:
            return
        end.is_noted = True
        if end.how == "failed":
            self.jobs[end.task.split(".")[0]].failures[end.task] += 1
        if end.later_starts:
            self.breach(f"TWICE {end.task} started at {end.later_starts} "
                        f"though it was done at {end.worker.name}")

    # Callers.

    def answered(self, job, status, body):
        """A whole answer arrived."""
        self.counts[f"answer {status}"] += 1
        job.answers.append(status)
        if status == 200 and not job.is_durable:
            self.shown(job, json.loads(body).get("state"))
        elif status == 200:
            job.is_accepted = True
        elif status in NOT_RUN and job.starts and \
                all(each in NOT_RUN for each in job.answers):
            self.breach(f"REFUSED {job.id} told not run, {job.starts} starts")

    def shown(self, job, state):
        """A client was told the state of a job."""
        job.state = state
        if state == "completed" and len(job.done) != job.tasks:
            self.breach(f"MIXED {job.id} completed with {len(job.done)} "
                        f"of {job.tasks} tasks done")

    def unknown(self, job):
        """A client was told that there is no such job."""
        if job.is_accepted and job.cancelled_at is None:
            self.breach(f"LOST {job.id} is not known")

    def check_all_ended(self):
        """After the faults every accepted job comes to its end."""
        for job in self.jobs.values():
            if job.is_durable and job.is_accepted and \
                    job.cancelled_at is None and \
                    job.state not in ("completed", "failed"):
                self.breach(f"LOST {job.id} is {job.state}, {len(job.done)} "
                            f"of {job.tasks} tasks done")
            if job.state == "failed" and job.is_durable and \
                    max(job.failures.values(), default=0) < RUN_LIMIT:
                self.breach(f"LOST {job.id} failed without cause")

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
