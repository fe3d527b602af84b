"""Errors of the package, each with the step that failed and the peer involved."""

from dataclasses import dataclass

__all__ = [
    "Failure",
    "InvalidInputError",
    "KingcuppostError",
    "PeerError",
]


class KingcuppostError(Exception):
    """Base class of every error that the package raises.

    Parameters
    ----------
    reason : str
        Cause of the failure, as one sentence without a full stop.
    step : str
        The step that failed, such as ``"append"``.
    peer : str
        The peer involved, such as ``"log 127.0.0.1:7000"``; empty if none.
    """

    def __init__(self, reason: str, step: str = "", peer: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        origin = " ".join(part for part in (self.step, self.peer) if part)
        return f"{origin}: {self.reason}" if origin else self.reason


class InvalidInputError(KingcuppostError):
    """Input from outside the process, such as a command-line option, is not valid."""


class PeerError(KingcuppostError):
    """An exchange with a peer failed or timed out.

    Parameters
    ----------
    is_refused : bool
        Whether the peer's machine refused the connection, as no process listens there.
    """

    def __init__(
        self, reason: str, step: str = "", peer: str = "", is_refused: bool = False
    ) -> None:
        super().__init__(reason, step, peer)
        self.is_refused = is_refused


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure, as the error value of a ``Result``.

    Attributes
    ----------
    reason : str
        Cause of the failure, as one sentence without a full stop.
    step : str
        The step that failed.
    peer : str
        The peer involved; empty if none.
    """

    reason: str
    step: str
    peer: str = ""
