"""Lookup of the queue that a call addresses and of the team of its key."""

from kingcuppost.batch.tables.fleet import Configuration, Queue

__all__ = ["find_queue", "find_team"]


def find_queue(configuration: Configuration, host: str, path: str) -> Queue | None:
    """Return the queue of a host with the longest prefix of a path, or None.

    Examples
    --------
    >>> queues = (Queue("a", "h", "/a/", "s"), Queue("b", "h", "/a/b/", "s"))
    >>> cfg = Configuration(1, queues, {}, {})
    >>> find_queue(cfg, "h", "/a/b/c").name
    'b'
    >>> find_queue(cfg, "other", "/a/b/c") is None
    True
    """
    host_name = host.partition(":")[0]
    found = [
        queue
        for queue in configuration.queues
        if queue.host == host_name and path.startswith(queue.prefix)
    ]
    return max(found, key=lambda queue: len(queue.prefix), default=None)


def find_team(configuration: Configuration, queue: Queue, key: str) -> str | None:
    """Return the name of the team of a key, or None if the key is unknown.

    On a public queue an unknown key yields an empty name.
    """
    team = configuration.keys.get(key)
    if team is None and queue.public:
        return ""
    return team
