"""What was sent, answered and run, and the rules that are read off it."""

import time


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.broken = []
        # Runs by task: {"run", "worker", "born", "began", "ended", "how", "noted"}; times are in seconds of this record.
        self.runs = {}
        self.by_end = {}
        self.lapses = {}
        # Job id -> last state that a client was shown.
        self.shown = {}

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def rule_broken(self, rule, text):
        self.broken.append((rule, text))
        self.line(f"BROKEN {rule}: {text}")

    # From the workers.

    def run_started(self, worker, run):
        self.line(f"start {run.task} run {run.number} on {worker.id} born {worker.born}")
        row = {"run": run.number, "worker": worker.id, "born": worker.born, "began": self.now(), "ended": None, "how": None, "noted": False}
        self.runs.setdefault(run.task, []).append(row)
        label = run.need.get("requirements", "")
        if label and label not in worker.labels():
            self.rule_broken("ROUTE", f"{run.task} run {run.number} needs the label {label} and starts on {worker.id} with {worker.labels()}")
        used = worker.used()
        for name, limit in worker.capacity.items():
            if used[name] > limit:
                self.rule_broken("LIMIT", f"{run.task} run {run.number} brings {worker.id} ({worker.kind}) to {name} {used[name]} of {limit}")

    def row(self, worker, run):
        for row in self.runs[run.task]:
            if row["run"] == run.number and row["worker"] == worker.id and row["born"] == worker.born:
                return row
        raise KeyError(run.task)

    def run_ended(self, worker, run, how, number):
        self.line(f"end {run.task} run {run.number} on {worker.id}: {how}, end {number}")
        row = self.row(worker, run)
        row["ended"], row["how"] = self.now(), how
        self.by_end[(worker.id, worker.born, number)] = row

    def lease_lapsed(self, worker):
        self.line(f"lapse {worker.id}")
        self.lapses.setdefault(worker.id, []).append(self.now())

    def ends_noted(self, worker, through):
        """An end is not noted if the worker's lease lapsed between the end and this."""
        for number in range(through, 0, -1):
            row = self.by_end.pop((worker.id, worker.born, number), None)
            if row is None:
                break
            row["noted"] = not any(row["ended"] < lapse for lapse in self.lapses.get(worker.id, []))
        self.line(f"noted {worker.id} through {through}")

    # From the clients and the operator.

    def call(self, method, path, daemon, status, body):
        self.line(f"call {method} {path} at {daemon}: {status} {body}")

    # At the end.

    def check_twice(self):
        """TWICE: two runs of a task at a time, or a start after a run whose end `done` is taken note of."""
        for task, rows in self.runs.items():
            for row in rows:
                for other in rows:
                    if other is row or other["began"] > row["began"]:
                        continue
                    is_over = other["ended"] is not None and other["ended"] <= row["began"]
                    if not is_over:
                        self.rule_broken("TWICE", f"{task}: run {row['run']} on {row['worker']} starts at {row['began']:.3f} while run {other['run']} runs on {other['worker']}")
                    elif other["how"] == "done" and other["noted"]:
                        self.rule_broken("TWICE", f"{task}: run {row['run']} on {row['worker']} starts at {row['began']:.3f}; run {other['run']} had ended done on {other['worker']} at {other['ended']:.3f}, which was noted")

    def finish(self):
        """Exit status of the case: 1 if a rule was broken, 0 if none was."""
        by_rule = {}
        for rule, text in self.broken:
            by_rule.setdefault(rule, []).append(text)
        for rule, texts in by_rule.items():
            print(f"{rule} broken {len(texts)} times, first: {texts[0]}")
        if not self.broken:
            print("no rule broken")
        self.line(f"result {'broken' if self.broken else 'held'}")
        return 1 if self.broken else 0
