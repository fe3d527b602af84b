"""The platform's log over HTTP, as the repository's stand-in speaks it."""

from kingcuppost.edges.context import EdgeContext, drivers, senders
from kingcuppost.edges.peers import run
from kingcuppost.exception import PeerError
from kingcuppost.models import decode, encode
from kingcuppost.models.log import AppendModel, ReadModel, text_of, to_read_done
from kingcuppost.tables.inbox import AppendDone, ReadDone
from kingcuppost.tables.outbox import AppendRecords, ReadLog

__all__ = ["HttpLog"]

STATUS_OK = 200
RECORDS_PER_READ = 500


@drivers.register(("log", "http"))
class HttpLog:
    """Driver of the log over HTTP.

    Parameters
    ----------
    context : EdgeContext
        The process's edges.
    """

    def __init__(self, context: EdgeContext) -> None:
        self._context = context
        self._address = context.world.cfg.log.address

    def read(self, row: ReadLog) -> None:
        """Read records after an offset."""
        path = (
            f"/v1/records?after={row.after}&wait_ms={row.wait_ms}"
            f"&limit={RECORDS_PER_READ}"
        )

        async def work() -> ReadDone:
            response = await self._context.client.exchange(
                "GET", self._address, path, b"", row.timeout_ms
            )
            if response.status != STATUS_OK:
                raise PeerError(f"status {response.status}", "read", "log")
            parsed = decode(ReadModel, response.body, "log")
            if parsed.is_error():
                raise PeerError(parsed.error.reason, "read", "log")
            return to_read_done(row.read_id, parsed.ok)

        def failed(exc: PeerError) -> ReadDone:
            return ReadDone(row.read_id, False, reason=str(exc))

        run(self._context, work(), failed)

    def append(self, row: AppendRecords) -> None:
        """Append records; the answer only tells that a re-read is due."""
        record_ids = tuple(record.record_id for record in row.records)
        model = AppendModel(values=[text_of(record) for record in row.records])

        async def work() -> AppendDone:
            response = await self._context.client.exchange(
                "POST", self._address, "/v1/records", encode(model), row.timeout_ms
            )
            ok = response.status == STATUS_OK
            return AppendDone(record_ids, ok, "" if ok else f"status {response.status}")

        def failed(exc: PeerError) -> AppendDone:
            return AppendDone(record_ids, False, str(exc))

        run(self._context, work(), failed)


@senders.register(ReadLog)
def read_log(context: EdgeContext, row: ReadLog) -> None:
    """Read the log through the driver that the settings name."""
    context.drivers["log"].read(row)


@senders.register(AppendRecords)
def append_records(context: EdgeContext, row: AppendRecords) -> None:
    """Append to the log through the driver that the settings name."""
    context.drivers["log"].append(row)
