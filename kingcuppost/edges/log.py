"""HTTP client of the platform's log, in the protocol of the repository's stand-in."""

from kingcuppost.edges.context import EdgeContext, drivers, senders
from kingcuppost.edges.http_client import JsonClient
from kingcuppost.edges.peers import deliver_later
from kingcuppost.exception import PeerError
from kingcuppost.models import decode, encode
from kingcuppost.models.log import (
    AppendModel,
    ReadModel,
    encode_log_record,
    to_read_answered,
)
from kingcuppost.tables.inbox import AppendAnswered, ReadAnswered
from kingcuppost.tables.outbox import AppendRecords, ReadLog

__all__ = ["HttpLog"]

STATUS_OK = 200
MAX_RECORDS_PER_READ = 500


@drivers.register(("log", "http"))
class HttpLog:
    """Reads and appends records of the platform's log over HTTP.

    Parameters
    ----------
    context : EdgeContext
        Edges of the process.
    """

    def __init__(self, context: EdgeContext) -> None:
        self._context = context
        self._address = context.world.cfg.log.address
        self._client = JsonClient(context.reactor)

    def read(self, message: ReadLog) -> None:
        """Read records after an offset and deliver the answer."""
        client = self._client_for(message.hedge)
        path = (
            f"/v1/records?after={message.after}&wait_ms={message.wait_ms}"
            f"&limit={MAX_RECORDS_PER_READ}"
        )

        async def exchange() -> ReadAnswered:
            # up to 500 records may take longer than the timeout on a slow link
            response = await client.exchange(
                "GET",
                self._address,
                path,
                b"",
                message.timeout_ms,
                stall_timeout_ms=message.timeout_ms,
            )
            if response.status != STATUS_OK:
                raise PeerError(f"status {response.status}", "read", "log")
            parsed = decode(ReadModel, response.body, "log")
            if parsed.is_error():
                raise PeerError(parsed.error.reason, "read", "log")
            return to_read_answered(message.read_id, parsed.ok)

        def make_failure(exc: PeerError) -> ReadAnswered:
            return ReadAnswered(message.read_id, False, reason=str(exc))

        deliver_later(self._context, exchange(), make_failure)

    def append(self, message: AppendRecords) -> None:
        """Append records and deliver the answer.

        Whether the records take effect follows only from the fold, not from the answer.
        """
        client = self._client_for(message.hedge)
        record_ids = tuple(record.record_id for record in message.records)
        model = AppendModel(
            values=[encode_log_record(record) for record in message.records]
        )

        async def exchange() -> AppendAnswered:
            response = await client.exchange(
                "POST", self._address, "/v1/records", encode(model), message.timeout_ms
            )
            ok = response.status == STATUS_OK
            return AppendAnswered(
                record_ids, ok, "" if ok else f"status {response.status}"
            )

        def make_failure(exc: PeerError) -> AppendAnswered:
            never_sent = exc.step == "connect"
            return AppendAnswered(record_ids, False, str(exc), never_sent)

        deliver_later(self._context, exchange(), make_failure)

    def _client_for(self, hedge: bool) -> JsonClient:
        """Return the client; for a hedged request, first replace it by a new client.

        The idle connections of the old client may be unresponsive too. Its idle timeout
        closes them.
        """
        if hedge:
            self._client = JsonClient(self._context.reactor)
        return self._client


@senders.register(ReadLog)
def read_log(context: EdgeContext, message: ReadLog) -> None:
    """Read the log through the configured driver."""
    context.external_clients["log"].read(message)


@senders.register(AppendRecords)
def append_records(context: EdgeContext, message: AppendRecords) -> None:
    """Append to the log through the configured driver."""
    context.external_clients["log"].append(message)
