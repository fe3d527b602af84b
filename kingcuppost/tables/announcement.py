"""State of this process's announcement in the log, and of its graceful stop."""

from dataclasses import dataclass

__all__ = ["Announcement"]


@dataclass(slots=True)
class Announcement:
    """Ports bound by the edges, and records of the announcement and the leave.

    Attributes
    ----------
    caller_port, operator_port, peer_port : int
        Bound ports; 0 before they are bound.
    record_id : str
        Identifier of the last proposed announcement; empty if none.
    leave_record_id : str
        Identifier of the proposed leave notice; empty if none.
    stop_deadline_ms : int
        Time at which the process exits even if it is not idle; 0 before a graceful
        stop.
    """

    caller_port: int = 0
    operator_port: int = 0
    peer_port: int = 0
    record_id: str = ""
    leave_record_id: str = ""
    stop_deadline_ms: int = 0
