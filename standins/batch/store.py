"""In-memory log store: keyed topics, writer epochs and conditional appends."""

from dataclasses import dataclass, field

from kingcuppost.batch.tables.messages import AppendOutcome, Stream

__all__ = ["AppendResult", "Store"]

MAX_RECORD_BYTES = 262_144
MAX_REQUEST_BYTES = 2_097_152
LENGTH_BYTES = 4  # precede each record of an append


@dataclass(frozen=True)
class AppendResult:
    """Result of an append."""

    outcome: AppendOutcome
    offset: int = -1
    end: int = -1
    reason: str = ""


@dataclass
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    first_offset: int = 0
    newest: dict[str, int] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = -1
    results: dict[tuple[int, int], AppendResult] = field(default_factory=dict)


class Store:
    """Streams of keyed records; an acknowledged append is never lost.

    Attributes
    ----------
    max_record_bytes : int
        Size of the largest record that is taken, with its key and the key's length in
        one byte.
    max_request_bytes : int
        Largest total of the records of one append, with their lengths.
    invalid_count : int
        Number of appends that were too large.
    """

    def __init__(self) -> None:
        self.max_record_bytes = MAX_RECORD_BYTES
        self.max_request_bytes = MAX_REQUEST_BYTES
        self.invalid_count = 0
        self._topics = {stream: _Topic() for stream in Stream}

    def append(
        self,
        stream: Stream,
        records: list[tuple[str, bytes]],
        expected_end: int | None = None,
        epoch: int | None = None,
        sequence: int = 0,
    ) -> AppendResult:
        """Append all records or none.

        Parameters
        ----------
        stream : Stream
            Stream to append to.
        records : list of (str, bytes)
            Keys and values; an empty value deletes the key.
        expected_end : int or None
            End offset that the stream must have, if given; it is checked first.
        epoch : int or None
            Fencing epoch of the writer. An epoch lower than the newest one is fenced
            off; without an epoch there is no such check.
        sequence : int
            Number of the append within its epoch; it must follow the previous one. A
            repeated pair of epoch and sequence gets the first result again.

        Returns
        -------
        AppendResult
            ``INVALID`` for an append that is too large, ``FENCED`` for an outdated
            epoch, ``CONFLICT`` for another end or a gap in the sequence.
        """
        topic = self._topics[stream]
        reason = self._find_excess(records)
        if reason:
            self.invalid_count += 1
            return AppendResult(AppendOutcome.INVALID, reason=reason)
        if expected_end is not None and expected_end != len(topic.records):
            return AppendResult(AppendOutcome.CONFLICT, end=len(topic.records))
        if epoch is not None:
            if (epoch, sequence) in topic.results:
                return topic.results[epoch, sequence]
            if epoch < topic.epoch:
                return AppendResult(AppendOutcome.FENCED)
            if epoch == topic.epoch and sequence != topic.sequence + 1:
                return AppendResult(AppendOutcome.CONFLICT)
            topic.epoch, topic.sequence = epoch, sequence
        offset = len(topic.records)
        for key, value in records:
            topic.newest[key] = len(topic.records)
            topic.records.append((key, value))
            if not value:
                del topic.newest[key]
        result = AppendResult(AppendOutcome.DONE, offset, len(topic.records))
        if epoch is not None:
            topic.results[epoch, sequence] = result
        return result

    def _find_excess(self, records: list[tuple[str, bytes]]) -> str:
        """Return which limit the records of an append exceed; empty for none."""
        sizes = [1 + len(key.encode()) + len(value) for key, value in records]
        if max(sizes, default=0) > self.max_record_bytes:
            return f"the limit is {self.max_record_bytes} bytes"
        if sum(sizes) + LENGTH_BYTES * len(sizes) > self.max_request_bytes:
            return f"the limit is {self.max_request_bytes} bytes"
        return ""

    def end(self, stream: Stream) -> int:
        """Return the offset after the last record."""
        return len(self._topics[stream].records)

    def drop_history(self, stream: Stream) -> None:
        """Drop the history but keep the newest record of each key."""
        topic = self._topics[stream]
        topic.first_offset = len(topic.records)

    def newest(self, stream: Stream) -> list[tuple[int, str, bytes]]:
        """Return the newest record of each key, ordered by offset."""
        topic = self._topics[stream]
        offsets = sorted(topic.newest.values())
        return [(offset, *topic.records[offset]) for offset in offsets]

    def read(self, stream: Stream, start: int) -> list[tuple[str, bytes]] | None:
        """Return the records from an offset on; None if their history was dropped."""
        topic = self._topics[stream]
        if start < topic.first_offset:
            return None
        return topic.records[start:]
