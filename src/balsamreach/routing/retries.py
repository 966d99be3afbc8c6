"""How many retries there may be, and how long to wait before one."""

import random

import attrs

_RESERVE = 10
_MOST = 100
_FIRST_DELAY = 0.05
_LONGEST_DELAY = 1.0


@attrs.define
class RetryBudget:
    """A token bucket that first attempts fill and retries empty.

    Each router keeps to the share for its own first attempts, so the fleet
    as a whole keeps to it too, without a message.

    Parameters
    ----------
    share : float
        Retries allowed for each first attempt.
    tokens : float
        Retries allowed now; a few at the start, so that a quiet router's
        first failure can be retried.
    """

    share: float
    tokens: float = _RESERVE

    def deposit(self) -> None:
        """Take note of a first attempt."""
        self.tokens = min(_MOST, self.tokens + self.share)

    def withdraw(self) -> bool:
        """Return whether a retry or hedge may be sent; it is counted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a retry, fully jittered.

    Parameters
    ----------
    attempt : int
        Attempts that failed so far, from 1 on.
    rng : random.Random
        Source of the jitter.
    """
    longest = min(_LONGEST_DELAY, _FIRST_DELAY * 2 ** (attempt - 1))
    return rng.random() * longest
