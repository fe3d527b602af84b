"""The merged time line keeps causes before effects despite clock skew."""

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from kingcuppost.systems.views.merge import merge_events
from kingcuppost.tables.event import Event

MAX_SKEW_MS = 600_000
PROCESSES = ("entry-0", "entry-1", "minion-0", "minion-1")


class SimulatedRun:
    """A simulated run of processes that fold a log and exchange messages."""

    def __init__(self, rng: random.Random, skews_ms: list[int]) -> None:
        self.rng = rng
        self.skews_ms = dict(zip(PROCESSES, skews_ms, strict=True))
        self.log: list[str] = []
        self.folded_offsets = dict.fromkeys(PROCESSES, 0)
        self.events: list[Event] = []
        self.messages: list[str] = []
        self.clock_ms = MAX_SKEW_MS

    def note(self, process: str, step: str, **links: str) -> None:
        self.clock_ms += self.rng.randrange(3)
        sequence = sum(event.process == process for event in self.events) + 1
        self.events.append(
            Event(
                self.clock_ms + self.skews_ms[process],
                process,
                "inc",
                sequence,
                step,
                "",
                offset=self.folded_offsets[process],
                **links,
            )
        )

    def step(self) -> None:
        process = self.rng.choice(PROCESSES)
        self.rng.choice((self.propose, self.fold, self.send, self.receive))(process)

    def propose(self, process: str) -> None:
        record = f"rec-{len(self.log)}"
        self.note(process, "propose.x", sends=record)
        self.log.append(record)

    def fold(self, process: str) -> None:
        if self.folded_offsets[process] < len(self.log):
            self.folded_offsets[process] += 1
            record = self.log[self.folded_offsets[process] - 1]
            self.note(process, "fold.x", receives=record)

    def send(self, process: str) -> None:
        message = f"msg-{len(self.events)}"
        self.note(process, "request.send", sends=message)
        self.messages.append(message)

    def receive(self, process: str) -> None:
        if self.messages:
            message = self.messages.pop(self.rng.randrange(len(self.messages)))
            self.note(process, "serve.receive", receives=message)


skew_ms = st.integers(-MAX_SKEW_MS, MAX_SKEW_MS)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.integers(0, 2**32), st.lists(skew_ms, min_size=4, max_size=4))
def test_clock_skew_keeps_causes_before_effects(seed: int, skews_ms: list[int]) -> None:
    rng = random.Random(seed)
    run = SimulatedRun(rng, skews_ms)
    for _ in range(80):
        run.step()
    shuffled = rng.sample(run.events, len(run.events))
    merged = merge_events(shuffled)
    assert sorted(merged, key=id) == sorted(run.events, key=id)
    check_sequences(merged)
    check_links(merged)
    check_records(merged)


def check_sequences(merged: list[Event]) -> None:
    for process in PROCESSES:
        numbers = [event.sequence for event in merged if event.process == process]
        assert numbers == sorted(numbers)


def check_links(merged: list[Event]) -> None:
    sent = set()
    for event in merged:
        assert not event.receives or event.receives in sent
        sent.add(event.sends)


def check_records(merged: list[Event]) -> None:
    """Check that each event follows the proposals of the records folded before it."""
    proposed = [event.sends for event in merged if event.step == "propose.x"]
    positions = {event.sends: number for number, event in enumerate(merged)}
    folds = {e.offset: e.receives for e in merged if e.step == "fold.x"}
    assert set(folds.values()) <= set(proposed)
    for number, event in enumerate(merged):
        for offset, record in folds.items():
            if offset <= event.offset:
                assert positions[record] < number


def test_offset_takes_precedence_over_clock() -> None:
    early = Event(9_000, "entry-0", "a", 1, "fold.x", "", offset=4)
    late = Event(1_000, "entry-1", "b", 1, "fold.x", "", offset=5)
    assert merge_events([late, early]) == [early, late]


def test_clock_breaks_ties_of_offset() -> None:
    first = Event(1_000, "entry-1", "b", 1, "x", "", offset=4)
    second = Event(2_000, "entry-0", "a", 1, "x", "", offset=4)
    assert merge_events([second, first]) == [first, second]


def test_contradicting_events_are_kept() -> None:
    one = Event(1_000, "entry-0", "a", 1, "x", "", sends="m", receives="n")
    two = replace(one, process="entry-1", sends="n", receives="m")
    assert len(merge_events([one, two])) == 2
