"""Following of the product's streams, which are topics of the store."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from kingcuppost.batch.edges.context import (
    BatchContext,
    batch_senders,
    deliver_later,
)
from kingcuppost.batch.systems.freshness import view_age_ms
from kingcuppost.batch.tables.messages import (
    ListMembers,
    ReadStream,
    RecordsRead,
    Stream,
)
from kingcuppost.edges.loop import EXIT_SOFTWARE_ERROR
from kingcuppost.exception import PeerError
from kingcuppost.platform.reads import list_newest, read_records
from kingcuppost.platform.store import StoreClient

__all__ = ["follow_stream"]

# A view is at most one wait old when a read is sent, and two when it is answered.
READ_WAIT_MS = 500
# minimum delays; `_sleep` adds a random time of up to the same length
RETRY_DELAY_S = 0.15
FIRST_RETRY_DELAY_S = 0.02
FAILURE_LOG_PERIOD_MS = 1_000
# Of these streams only the newest record of each of a few keys counts. After a failure
# they are listed, however much has been appended since the last read.
LISTED_AFTER_FAILURE = (Stream.OPERATORS,)


def follow_stream(context: BatchContext, store: StoreClient, stream: Stream) -> None:
    """Follow a stream forever: list it, then read on; list it again after a gap.

    An unexpected error ends the process.
    """
    ensureDeferred(_follow_stream(context, store, stream)).addErrback(
        _stop_process, context
    )


def _stop_process(failure: Any, context: BatchContext) -> None:
    """End the process, since it can serve nobody without following the log."""
    context.world.note(
        "log", "Following a stream failed unexpectedly.", reason=failure.getTraceback()
    )
    context.wake()
    context.exit_code = EXIT_SOFTWARE_ERROR
    # the delay lets the next tick write the log line
    context.reactor.callLater(RETRY_DELAY_S, context.reactor.stop)


async def _follow_stream(
    context: BatchContext, store: StoreClient, stream: Stream
) -> None:
    position: _Position | None = None
    positions = context.adapter_state.positions
    failures = _ReadFailures(context, stream)
    while True:
        positions[stream] = position
        try:
            if position is None:
                batch, position = await _list_stream(context, store, stream)
            else:
                # after a failure, a read does not wait for new records, so that its
                # answer restores the freshness of the stream sooner
                wait_ms = 0 if failures.count else READ_WAIT_MS
                batch = await read_records(
                    context, store, stream, position.offset, wait_ms, position.ahead
                )
        except PeerError as exc:
            is_first = not failures.count
            failures.add(None if position is None else position.offset, exc)
            if stream in LISTED_AFTER_FAILURE:
                position = None
            await _sleep(context, FIRST_RETRY_DELAY_S if is_first else RETRY_DELAY_S)
            continue
        failures.count = 0
        if batch is None:
            position = None
        else:
            position.offset = batch.end
            context.deliver(batch)


@dataclass(slots=True)
class _Position:
    """Where the next read of a stream begins, and what its last listing ran ahead of.

    Attributes
    ----------
    offset : int
        Offset at which the next read begins.
    ahead : dict of str to int
        See `Listing`.
    """

    offset: int
    ahead: dict[str, int]


async def _list_stream(
    context: BatchContext, store: StoreClient, stream: Stream
) -> tuple[RecordsRead, _Position]:
    """List a stream, and return the records and where to read on.

    Raises
    ------
    PeerError
        If there was no answer, or a listing older than what was read before.
    """
    listing = await list_newest(context, store, stream, max_routes=1)
    end = listing.read.end
    known_end = context.world.agreed.views[stream].end
    if end < known_end:
        reason = f"the listing ends at {end}, which is before {known_end}"
        raise PeerError(reason, "list", str(store.address))
    return listing.read, _Position(end, listing.ahead)


class _ReadFailures:
    """Counts the failed reads of a stream since the last answered one and logs them.

    The first failure is logged, and then at most one per `FAILURE_LOG_PERIOD_MS`.
    """

    def __init__(self, context: BatchContext, stream: Stream) -> None:
        self._context = context
        self._stream = stream
        self._log_after_ms = 0
        self.count = 0

    def add(self, offset: int | None, exc: PeerError) -> None:
        """Count a failure of a read from an offset; None stands for a listing."""
        world = self._context.world
        self.count += 1
        world.tally.add("reads_failed", self._stream)
        now_ms = world.clock.now_ms()
        if self.count > 1 and now_ms < self._log_after_ms:
            return
        self._log_after_ms = now_ms + FAILURE_LOG_PERIOD_MS
        world.note(
            "log",
            "A stream is not followed.",
            stream=self._stream,
            offset=-1 if offset is None else offset,
            failures=self.count,
            age_ms=view_age_ms(world, self._stream, now_ms),
            reason=str(exc),
        )
        self._context.wake()


def _sleep(context: BatchContext, min_delay_s: float) -> Deferred:
    """Return a deferred that fires after a random delay, at most twice the minimum."""
    done: Deferred = Deferred()
    delay_s = min_delay_s * (1 + context.world.rng.random())
    context.reactor.callLater(delay_s, done.callback, None)
    return done


@batch_senders.register(ReadStream)
def send_read_stream(context: BatchContext, message: ReadStream) -> None:
    """Read a stream once from where it is followed, without a wait for records."""
    deliver_later(context, _read_to_end(context, message.stream))


async def _read_to_end(context: BatchContext, stream: Stream) -> RecordsRead | None:
    """Return the records up to the end of a stream; None if they can't be read now.

    While the stream is being listed, the listing gives the same.
    """
    position = context.adapter_state.positions.get(stream)
    if position is None:
        return None
    store = context.adapter_state.store
    try:
        return await read_records(
            context, store, stream, position.offset, 0, position.ahead
        )
    except PeerError as exc:
        context.world.note(
            "log", "A stream could not be read at once.", stream=stream, reason=str(exc)
        )
        return None


@batch_senders.register(ListMembers)
def send_list_members(context: BatchContext, message: ListMembers) -> None:
    """Read the list of members from the store once."""
    deliver_later(context, _fetch_members(context))


async def _fetch_members(context: BatchContext) -> RecordsRead | None:
    try:
        listing = await list_newest(
            context, context.adapter_state.store, Stream.MEMBERS
        )
    except PeerError as exc:
        context.world.note("log", "The members could not be listed.", reason=str(exc))
        return None
    return listing.read
