"""Conditions that a stand-in platform runs under, and its rate limits."""

import attrs

from balsamreach.clock import Clock
from balsamreach.services.faults import UNAVAILABLE, PlatformFault


@attrs.define
class TokenBucket:
    """Rate limit that allows a burst of one second's worth.

    Parameters
    ----------
    clock : Clock
        Source of the time by which tokens come back.
    """

    clock: Clock
    _rate: float = 0
    _tokens: float = 0
    _filled_at: float = 0

    def take(self, rate: float | None) -> bool:
        """Take one token at a rate per second; None limits nothing."""
        if rate is None:
            return True
        self._fill(rate)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _fill(self, rate: float) -> None:
        now = self.clock.now()
        burst = max(rate, 1) if rate > 0 else 0
        if rate == self._rate:
            gained = (now - self._filled_at) * rate
            self._tokens = min(burst, self._tokens + gained)
        else:
            # A changed limit starts with a full bucket, as a new one does.
            self._rate = rate
            self._tokens = burst
        self._filled_at = now


@attrs.define
class Weather:
    """Settings and counters shared by all services of one stand-in.

    Parameters
    ----------
    clock : Clock
        Time for delays, rate limits and the host list's lag.
    down : bool
        Whether every call is refused as unavailable.
    delay_s : float
        Seconds that every call is held before it is looked at.
    writes_per_s, reads_per_s : float or None
        Calls allowed a second; None limits nothing.
    hosts_lag_s : float
        Seconds by which the visible list of hosts trails the real one.
    lose_answers : int
        How many of the next applied commits get no answer.
    refuse_old_fences : bool
        Whether power orders with an older fencing number are refused.
    reads, writes, rows_written : int
        Calls admitted and rows written by commits so far.
    bytes_moved : int
        Bytes of all calls and answers so far, about: heads and bodies.
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
        """Set up the rate limits on the same clock."""
        self._read_tokens = TokenBucket(self.clock)
        self._write_tokens = TokenBucket(self.clock)

    async def admit_read(self) -> PlatformFault | None:
        """Hold one read as long as set, then let it through or refuse it."""
        refusal = await self._admit(self._read_tokens, self.reads_per_s)
        if refusal is None:
            self.reads += 1
        return refusal

    async def admit_write(self) -> PlatformFault | None:
        """Hold one write as long as set, then let it through or refuse it."""
        refusal = await self._admit(self._write_tokens, self.writes_per_s)
        if refusal is None:
            self.writes += 1
        return refusal

    def loses_answer(self) -> bool:
        """Say whether the answer now due is lost, and count it."""
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
            return UNAVAILABLE.because('the stand-in is set down')
        if not bucket.take(rate):
            return UNAVAILABLE.because('the rate limit is used up')
        return None
