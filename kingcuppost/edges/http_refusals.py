"""Responses to refused requests; each says that the request was not run."""

from kingcuppost.systems.connections import RefusalKind
from kingcuppost.tables.connections import ClientLimits

__all__ = ["MAX_QUERY_FIELDS", "format_refusal"]

MAX_QUERY_FIELDS = 16  # routes use at most one
RETRY_AFTER_S = 1
REFUSAL_HEAD = (
    b"HTTP/1.1 %s\r\n"
    b"Content-Type: application/json\r\n"
    b"Connection: close\r\n"
    b"%s"
    b"Content-Length: %d\r\n\r\n%s"
)
REFUSAL_BODY = b'{"outcome":"not_run","step":"%s","peer":"","reason":"%s"}'
RETRY_AFTER = b"Retry-After: %d\r\n" % RETRY_AFTER_S
STATUSES = {
    RefusalKind.MEMORY: b"503 Service Unavailable",
    RefusalKind.HEAD_FIELDS: b"431 Request Header Fields Too Large",
    RefusalKind.QUERY_FIELDS: b"400 Bad Request",
    RefusalKind.BODY_BYTES: b"413 Content Too Large",
    RefusalKind.BODY_CHUNKS: b"413 Content Too Large",
    RefusalKind.BODY_FIELDS: b"413 Content Too Large",
}


def _format_reason(limits: ClientLimits, kind: RefusalKind) -> str:
    return {
        RefusalKind.MEMORY: "too many requests are held at present",
        RefusalKind.HEAD_FIELDS: f"the head has more than {limits.head_fields} fields",
        RefusalKind.QUERY_FIELDS: f"the query has more than {MAX_QUERY_FIELDS} fields",
        RefusalKind.BODY_BYTES: f"the body is larger than {limits.body_bytes} bytes",
        RefusalKind.BODY_CHUNKS: "the body has too many or too small chunks",
        RefusalKind.BODY_FIELDS: f"the body has more than {limits.body_fields} fields",
    }[kind]


def format_refusal(limits: ClientLimits, kind: RefusalKind) -> bytes:
    """Return the whole response to a refused request."""
    is_busy = kind is RefusalKind.MEMORY
    step = b"receive" if is_busy else b"decode"
    body = REFUSAL_BODY % (step, _format_reason(limits, kind).encode("ascii"))
    retry_after = RETRY_AFTER if is_busy else b""
    return REFUSAL_HEAD % (STATUSES[kind], retry_after, len(body), body)
