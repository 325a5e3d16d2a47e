"""Scenarios of the soak: drawn from a seed, or read from a file."""

import random

FIRST_SEED_OF_LATER_KINDS = 1000
FIRST_SEED_OF_RESTARTS = 2000
FIRST_SEED_OF_EVACUATIONS = 3000


def draw_scenario(seed):
    """Lines of a random scenario: faults in series that overlap."""
    draw = random.Random(seed)
    daemons = [f"daemon-{number}" for number in range(6)]
    one = lambda: draw.choice(["owner", "owner", draw.choice(daemons)])
    choices = [
        lambda: f"kill {one()}", lambda: "kill all", lambda: f"freeze {one()} for {draw.choice([1, 3, 6])}", lambda: f"term {one()}",
        lambda: f"hup {one()}", lambda: f"store {draw.choice(['down', 'refuse', 'slow', 'lost'])} for {draw.choice([1, 3, 5])}",
        lambda: "store forget", lambda: f"cut-store {one()} for {draw.choice([2, 4])}", lambda: f"deaf-store {one()} for {draw.choice([2, 4])}",
        lambda: f"silence {draw.choice(['all', one()])}", lambda: f"reset {draw.choice(['all', one()])}", lambda: f"cut-peers {one()} for 3",
        lambda: f"delay-peers {one()} for 3", lambda: f"vm-crash {draw.randint(1, 4)} for {draw.choice([1, 3, 8])}",
        lambda: f"vm-cut {draw.randint(1, 4)} for {draw.choice([2, 5, 12])}", lambda: f"vm-silence {draw.randint(1, 6)}",
        lambda: f"vm-late {draw.randint(1, 6)} for 4", lambda: f"vm-fails {draw.randint(1, 3)} for 3",
        lambda: f"drain {draw.randint(1, 3)} for 4", lambda: f"key {draw.choice(['blue', 'green'])}"]
    # Earlier seeds keep the scenarios that they have always had.
    if seed >= FIRST_SEED_OF_LATER_KINDS:
        choices += [lambda: f"vm-mute {draw.randint(1, 6)} for 4", lambda: "odd-entries 99 for 4"]
    if seed >= FIRST_SEED_OF_EVACUATIONS:
        return draw_evacuations(draw, choices)
    if seed >= FIRST_SEED_OF_RESTARTS:
        return draw_restarts(draw, choices)
    lines, at = draw_series(draw, [lambda: draw.choice(choices)()] * draw.randint(3, 7))
    return [f"load {at + 2:.1f}", *lines]


def draw_series(draw, kinds):
    """Lines of these faults in turn, and when the next would begin."""
    at = 2.0
    lines = []
    for kind in kinds:
        lines.append(f"at {at:.1f} {kind()}")
        at += draw.choice([0.1, 0.5, 1.5, 3.0])
    return lines, at


def draw_restarts(draw, choices):
    """VMs start anew under their ids and are cut off, before, after and while other things fail; long tasks run meanwhile."""
    recut = lambda: f"vm-recut {draw.randint(2, 5)} for {draw.choice([5, 15, 15])}"
    near = [lambda: "kill owner", lambda: "cut-off owner for 4", lambda: "freeze owner for 3", lambda: f"vm-late {draw.randint(3, 12)} for 4",
            lambda: f"vm-mute {draw.randint(3, 12)} for 4", lambda: f"store {draw.choice(['down', 'slow', 'lost'])} for 3",
            lambda: f"vm-silence {draw.randint(1, 6)}", *choices]
    # So that the owner, which steps down when it reaches less than half of its VMs, mostly goes on.
    kinds = [recut, *draw.choices([recut, *near, *near], k=draw.randint(2, 5))]
    draw.shuffle(kinds)
    lines, at = draw_series(draw, kinds)
    return ["vms 24", f"load {at + 2:.1f}", "rate 12", "long 0.2", *lines]


def draw_evacuations(draw, choices):
    """Zones are evacuated and taken back while the owner ends and other things fail."""
    zones = lambda: draw.choice(["zone-a", "zone-b", "zone-a+zone-c", "zone-a+zone-b+zone-c", "zone-z+zone-b"])
    evacuate = lambda: f"evacuate {zones()} for {draw.choice([1, 9, 12])}"
    near = [lambda: "kill owner", lambda: "kill all", lambda: "freeze owner for 3", lambda: "term owner", lambda: "store forget",
            lambda: f"vm-late {draw.randint(3, 8)} for 4", lambda: f"vm-mute {draw.randint(3, 8)} for 4"]
    kinds = [evacuate, *draw.choices([evacuate, *near, *near, draw.choice(choices)], k=draw.randint(2, 5))]
    draw.shuffle(kinds)
    lines, at = draw_series(draw, kinds)
    return [f"load {at + 10:.1f}", *lines]


def parse_scenario(lines):
    """The scenario's settings by name, and its faults."""
    settings = {"load": 8.0, "rate": 8.0, "cancel-early": 0.05, "long": 0.0, "daemons": None, "vms": None,
                "stored-jobs": 0.0, "link-mbps": 0.0, "fast-daemons": 0.0}
    faults = []
    for line in lines:
        words = line.split("#")[0].split()
        if not words:
            continue
        if words[0] in settings:
            settings[words[0]] = float(words[1])
        elif words[0] == "at":
            seconds = float(words[words.index("for") + 1]) if "for" in words else 0.0
            faults.append((float(words[1]), words[2], words[3] if len(words) > 3 and words[3] != "for" else "", seconds))
        else:
            raise ValueError(f"unknown line: {line}")
    return settings, faults
