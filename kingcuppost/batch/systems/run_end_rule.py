"""When the runs of a minion count as ended, and what extends its lease.

A run counts as ended only on one of these:

- The minion lists its end.
- The minion has refused it, and no copy of its start can be carried out any more.
- The lease of the minion incarnation has certainly expired on the minion's clock.

While the lease may last, silence is no evidence. The lease is extended only while the
sidecar is in contact with the minion: a minion that is lost for good beside a live
sidecar would otherwise keep its runs for ever. Contact is a list of runs, as it shows
that calls reach the minion, and names the incarnation that answers. Heartbeats and
answers to orders are no contact.

Both sides use `extends_lease` on the same report: the holder when it receives it, the
sidecar when it is answered. So the holder never takes a lease for expired that the
sidecar may have extended.
"""

from kingcuppost.batch.tables.messages import MinionReport

__all__ = [
    "CONTACT_MS",
    "certain_expiry_ms",
    "extends_lease",
    "is_in_contact",
]

CONTACT_MS = 2_000  # more than a request for the lists takes with its timeout
EXPIRY_MARGIN_MS = 400
MAX_CLOCK_DRIFT_RATIO = 1.03


def is_in_contact(contact_ms: int | None, now_ms: int) -> bool:
    """Return whether a sidecar is in contact with its minion.

    Parameters
    ----------
    contact_ms : int or None
        Time at which the minion's newest list was received, on the sidecar's clock;
        None if its incarnation has answered none.
    now_ms : int
        Current time on the same clock.
    """
    return contact_ms is not None and now_ms - contact_ms <= CONTACT_MS


def extends_lease(report: MinionReport | None) -> bool:
    """Return whether a report, once it is answered, extends the minion lease."""
    return report is not None and report.in_contact


def certain_expiry_ms(lease_ms: int) -> int:
    """Return the time after a report by which a minion lease has expired, in ms.

    The lease has expired by then even if the minion's clock is slower than this
    process's clock by the factor `MAX_CLOCK_DRIFT_RATIO`.
    """
    return int(lease_ms * MAX_CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_MS
