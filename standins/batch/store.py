"""A log store with keyed topics, writers with epochs, and conditional appends."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.messages import AppendOutcome, Stream

__all__ = ["Appended", "Store"]


@dataclass(frozen=True)
class Appended:
    """Answer to an append."""

    outcome: AppendOutcome
    offset: int = -1
    end: int = -1


@dataclass
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0
    newest: dict[str, int] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    answers: dict[tuple[int, int], Appended] = field(default_factory=dict)


class Store:
    """Streams of keyed records that lose nothing they have acknowledged."""

    def __init__(self) -> None:
        self._topics = {stream: _Topic() for stream in Stream}

    def append(
        self,
        stream: Stream,
        records: list[tuple[str, bytes]],
        at: int | None = None,
        epoch: int | None = None,
        sequence: int = 0,
    ) -> Appended:
        """Append records all or not at all."""
        topic = self._topics[stream]
        if at is not None and at != len(topic.records):
            return Appended(AppendOutcome.CONFLICT, end=len(topic.records))
        if epoch is not None:
            if (epoch, sequence) in topic.answers:
                return topic.answers[epoch, sequence]
            if epoch < topic.epoch:
                return Appended(AppendOutcome.FENCED)
            if epoch == topic.epoch and sequence != topic.sequence + 1:
                return Appended(AppendOutcome.CONFLICT)
            topic.epoch, topic.sequence = epoch, sequence
        offset = len(topic.records)
        for key, value in records:
            topic.newest[key] = len(topic.records)
            topic.records.append((key, value))
            if not value:
                del topic.newest[key]
        answer = Appended(AppendOutcome.DONE, offset, len(topic.records))
        if epoch is not None:
            topic.answers[epoch, sequence] = answer
        return answer

    def end(self, stream: Stream) -> int:
        """Return the offset behind the last record."""
        return len(self._topics[stream].records)

    def forget(self, stream: Stream) -> None:
        """Drop the history; the newest record of each key stays."""
        topic = self._topics[stream]
        topic.first = len(topic.records)

    def newest(self, stream: Stream) -> list[tuple[int, str, bytes]]:
        """Return the newest record of each key, by offset."""
        topic = self._topics[stream]
        offsets = sorted(topic.newest.values())
        return [(offset, *topic.records[offset]) for offset in offsets]

    def read(self, stream: Stream, start: int) -> list[tuple[str, bytes]] | None:
        """Return the records from an offset on; None if they are forgotten."""
        topic = self._topics[stream]
        if start < topic.first:
            return None
        return topic.records[start:]
