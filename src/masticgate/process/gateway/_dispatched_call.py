"""A call that was assigned to the connection of a searcher."""

from dataclasses import dataclass

from ..._ids import SearcherId
from ...connection.gateway import SearcherTask
from ...request.gateway import Call


@dataclass(slots=True)
class DispatchedCall:
    """A call that was assigned to a connection and has no outcome yet."""

    call: Call
    searcher: SearcherId
    task: SearcherTask

    def cancel(self) -> None:
        """Cancel the call, so that the searcher drops the request or never receives it.

        The connection is closed if the call was started; otherwise the call is not sent.
        """
        self.task.cancel(self.call)

    def withdraw(self) -> bool:
        """Cancel the call unless sending it has begun; return whether it was cancelled."""
        return self.task.withdraw(self.call)
