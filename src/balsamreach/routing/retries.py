"""Retry budget and backoff."""

import random

import attrs

_INITIAL_TOKENS = 10
_MAX_TOKENS = 100
_BASE_DELAY = 0.05
_MAX_DELAY = 1.0


@attrs.define
class RetryBudget:
    """A token bucket filled by first attempts and emptied by retries.

    Each router limits retries to a share of its own first attempts, so the
    whole fleet stays within that share without communicating.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt.
    tokens : float
        Retries allowed now. Above zero at the start, so that the first
        failure at a router with little traffic can be retried.
    """

    share: float
    tokens: float = _INITIAL_TOKENS

    def deposit(self) -> None:
        """Add the share of one first attempt."""
        self.tokens = min(_MAX_TOKENS, self.tokens + self.share)

    def withdraw(self) -> bool:
        """Use a token for a retry or hedge; False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def backoff(attempt: int, rng: random.Random) -> float:
    """Return the seconds to wait before a retry, with full jitter.

    Parameters
    ----------
    attempt : int
        Number of failed attempts, from 1 on.
    rng : random.Random
        Source of the jitter.
    """
    max_delay = min(_MAX_DELAY, _BASE_DELAY * 2 ** (attempt - 1))
    return rng.random() * max_delay
