"""The limit that a replica names on the requests a second from all entries together."""

from dataclasses import dataclass


@dataclass(slots=True)
class RequestLimit:
    """What one entry knows of the limit of one replica.

    Moments are in seconds on any one clock that does not go back.
    """

    per_second: float | None = None  # None while the replica names none
    named_at: float = float("-inf")  # when it was last named

    def answered(self, limit: float | None, sent_at: float, now: float) -> bool:
        """Take what an answer names as the limit; return whether that changes anything.

        An answer without a limit ends it only if its request was sent after the limit was known:
        another answer may have been given before the limit and come after it.
        """
        before = self.per_second
        if limit is not None:
            self.per_second = limit
            self.named_at = now
        elif sent_at > self.named_at:
            self.per_second = None
        return self.per_second != before
