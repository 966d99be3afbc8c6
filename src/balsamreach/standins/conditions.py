"""Delays, outages and rate limits of a simulated platform."""

import attrs

from balsamreach.clock import Clock
from balsamreach.services.faults import UNAVAILABLE, PlatformFault


@attrs.define
class TokenBucket:
    """Rate limit that allows a burst of one second's tokens.

    Parameters
    ----------
    clock : Clock
        Clock for refilling tokens.
    """

    clock: Clock
    _rate: float = 0
    _tokens: float = 0
    _refilled_at: float = 0

    def take(self, rate: float | None) -> bool:
        """Take one token at a rate per second; None for no limit."""
        if rate is None:
            return True
        self._refill(rate)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, rate: float) -> None:
        now = self.clock.now()
        burst = max(rate, 1) if rate > 0 else 0
        if rate == self._rate:
            new_tokens = (now - self._refilled_at) * rate
            self._tokens = min(burst, self._tokens + new_tokens)
        else:
            # A changed rate starts with a full bucket, as a new bucket does.
            self._rate = rate
            self._tokens = burst
        self._refilled_at = now


@attrs.define
class PlatformConditions:
    """Settings and counters shared by all services of a platform.

    Parameters
    ----------
    clock : Clock
        Clock for delays, rate limits and the lag of the host list.
    down : bool
        Whether every call is refused with UNAVAILABLE.
    delay_s : float
        Seconds by which every call is delayed before it is handled.
    writes_per_s, reads_per_s : float or None
        Calls allowed per second; None for no limit.
    hosts_lag_s : float
        Seconds by which the visible list of hosts lags.
    lose_answers : int
        How many of the next commits are applied and not answered.
    refuse_old_fences : bool
        Whether power orders with an older fencing number are refused.
    reads, writes, rows_written : int
        Admitted calls and rows written by commits so far.
    bytes_moved : int
        Approximate bytes of all calls and responses: headers and bodies.
    """

    clock: Clock
    down: bool = False
    delay_s: float = 0
    writes_per_s: float | None = None
    reads_per_s: float | None = None
    hosts_lag_s: float = 0
    lose_answers: int = 0
    refuse_old_fences: bool = False
    reads: int = 0
    writes: int = 0
    rows_written: int = 0
    bytes_moved: int = 0
    _read_tokens: TokenBucket = attrs.field(init=False)
    _write_tokens: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the rate limits."""
        self._read_tokens = TokenBucket(self.clock)
        self._write_tokens = TokenBucket(self.clock)

    async def admit_read(self) -> PlatformFault | None:
        """Delay a read as set; return a fault if it is refused."""
        fault = await self._admit(self._read_tokens, self.reads_per_s)
        if fault is None:
            self.reads += 1
        return fault

    async def admit_write(self) -> PlatformFault | None:
        """Delay a write as set; return a fault if it is refused."""
        fault = await self._admit(self._write_tokens, self.writes_per_s)
        if fault is None:
            self.writes += 1
        return fault

    def consume_lost_answer(self) -> bool:
        """Return whether this answer is lost; decrement ``lose_answers``."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True

    async def _admit(
        self,
        bucket: TokenBucket,
        rate: float | None,
    ) -> PlatformFault | None:
        if self.delay_s > 0:
            await self.clock.sleep(self.delay_s)
        if self.down:
            return UNAVAILABLE.because(
                'the stand-in platform is set to be down'
            )
        if not bucket.take(rate):
            return UNAVAILABLE.because('the rate limit is used up')
        return None
