"""A mailbox of messages, grouped by type."""

from collections import defaultdict
from typing import Any, TypeVar

__all__ = ["Mailbox"]

Message = TypeVar("Message")


class Mailbox:
    """Queues of messages, one for each message type, in order of arrival.

    Examples
    --------
    >>> box = Mailbox()
    >>> box.put("hello")
    >>> box.take(str)
    ['hello']
    >>> box.take(str)
    []
    """

    def __init__(self) -> None:
        self._messages: dict[type, list[Any]] = defaultdict(list)

    def __len__(self) -> int:
        return sum(len(messages) for messages in self._messages.values())

    def put(self, message: Any) -> None:
        """Append a message to the queue of its type."""
        self._messages[type(message)].append(message)

    def take(self, message_type: type[Message]) -> list[Message]:
        """Remove and return all messages of a type."""
        return self._messages.pop(message_type, [])

    def take_all(self) -> list[Any]:
        """Remove and return all messages, grouped by type."""
        messages = [item for group in self._messages.values() for item in group]
        self._messages.clear()
        return messages
