"""Where this process listens, and whether the log knows it."""

from dataclasses import dataclass

__all__ = ["Announcement"]


@dataclass(slots=True)
class Announcement:
    """Addresses bound by the edges, and the record that tells them.

    Attributes
    ----------
    caller_port, operator_port, peer_port : int
        Ports bound; 0 before.
    record_id : str
        Announcement under way; empty if none.
    leave_record_id : str
        Leave record under way; empty if none.
    stop_ms : int
        When a graceful stop must be over; 0 while none is under way.
    """

    caller_port: int = 0
    operator_port: int = 0
    peer_port: int = 0
    record_id: str = ""
    leave_record_id: str = ""
    stop_ms: int = 0
