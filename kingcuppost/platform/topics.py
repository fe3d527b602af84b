"""Topics of the store that hold the streams, and paths of calls about them."""

from typing import Any
from urllib.parse import urlencode

from kingcuppost.batch.tables.messages import Stream

__all__ = ["STATUS_OK", "TOPICS", "make_path"]

TOPICS = {
    Stream.JOBS: "keyed.jobs",
    Stream.MEMBERS: "keyed.members",
    Stream.OPERATORS: "keyed.op",
}
STATUS_OK = 200


def make_path(endpoint: str, **fields: Any) -> str:
    """Return the path and query of a call to the store.

    Examples
    --------
    >>> make_path("log-newest", topic="keyed.op", part=0)
    '/kingcuppost/log-newest?topic=keyed.op&part=0'
    """
    return f"/kingcuppost/{endpoint}?{urlencode(fields)}"
