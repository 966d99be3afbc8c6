"""Stand-in for a target that the users' platform lists, over HTTP.

It answers any request: with a stream of events where the request names a
prompt, else with one body. What its heads say of it can be set at any time.
"""

import asyncio
from http import HTTPStatus

import attrs
from tornado.web import Application, RequestHandler

from balsamreach.clock import Clock
from balsamreach.standins.handlers import log_nothing

#: Names the router that a caller chose; routers pass it on.
SENDER = 'X-Sender'


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached the target.

    Parameters
    ----------
    sender : str
        Router that it came from.
    request_id : str
        Identity that its caller gave it.
    at : float
        Monotonic seconds.
    ran : bool
        Whether the target ran it.
    retry_after : float
        Seconds that its rejection asked the sender to wait; 0 for none.
    """

    sender: str
    request_id: str
    at: float
    ran: bool = True
    retry_after: float = 0


@attrs.define(eq=False, kw_only=True)
class ListedTarget:
    """One target and its record of what reached it.

    Parameters
    ----------
    target_id : str
        Identity of this start.
    clock : Clock
        Time.
    slots : int
        Requests that it runs at once; it rejects the others.
    work : float
        Seconds that each request, and each event of a stream, takes.
    events : int
        Events of a stream.
    leaving : bool
        Whether its answers say that it leaves.
    rejects : bool
        Whether it rejects every request.
    retry_after : float
        Seconds that a rejection names; 0 where it names none.
    """

    target_id: str
    clock: Clock
    slots: int = 64
    work: float = 0
    events: int = 1
    leaving: bool = False
    rejects: bool = False
    retry_after: float = 0
    running: int = 0
    arrivals: list[Arrival] = attrs.field(factory=list)

    @property
    def full(self) -> bool:
        """Whether the next request is rejected."""
        return self.rejects or self.running >= self.slots


class _Handler(RequestHandler):
    def initialize(self, target: ListedTarget) -> None:
        """Take the target."""
        self.target = target

    async def prepare(self) -> None:
        """Answer every method and path alike."""
        if self.target.leaving:
            self.set_header('Server-Leaving', '1')
        if self.request.headers['Expect-Instance'] != self.target.target_id:
            self.set_status(HTTPStatus.MISDIRECTED_REQUEST)
            self.finish()
            return
        self.set_header('Attempt-Id', self.request.headers['Attempt-Id'])
        if self.target.full:
            self._reject()
            return
        self._note(ran=True)
        self.target.running += 1
        try:
            await self._run()
        finally:
            self.target.running -= 1

    def _note(self, *, ran: bool, retry_after: float = 0) -> None:
        arrival = Arrival(
            sender=self.request.headers.get(SENDER, ''),
            request_id=self.request.headers['Attempt-Id'],
            at=self.target.clock.now(),
            ran=ran,
            retry_after=retry_after,
        )
        self.target.arrivals.append(arrival)

    def _reject(self) -> None:
        self._note(ran=False, retry_after=self.target.retry_after)
        self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
        self.set_header('Not-Executed', '1')
        if self.target.retry_after:
            self.set_header('Retry-After', str(self.target.retry_after))
        self.finish()

    async def _run(self) -> None:
        self.set_header('Response-Stamp', self.target.target_id)
        if 'Token-Counts' not in self.request.headers:
            await asyncio.sleep(self.target.work)
            self.finish(b'done')
            return
        self.set_header('Content-Type', 'text/event-stream')
        for number in range(1, self.target.events + 1):
            self.write(f'id: {number}\ndata: piece\n\n')
            await self.flush()
            await asyncio.sleep(self.target.work)
        self.finish()


def make_listed_target(target: ListedTarget) -> Application:
    """Return the application that serves a target."""
    arguments = {'target': target}
    return Application(
        [('/.*', _Handler, arguments)],
        log_function=log_nothing,
    )
