"""What the relay needs translated between it and the wire."""

import abc
from collections.abc import Sequence

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.placement.notices import NO_NOTICE, TargetNotice
from balsamreach.placement.places import TargetEntry
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault

HeaderList = Sequence[tuple[str, str]]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request as it stood on the wire.

    Parameters
    ----------
    method, path : str
        Request line; the path holds the query.
    headers : sequence of (str, str)
        All headers in their order.
    body : bytes
        Body.
    arrived : float
        Monotonic seconds at which its first line was read.
    """

    method: str
    path: str
    headers: HeaderList
    body: bytes
    arrived: float


@attrs.frozen(kw_only=True)
class AnswerHead:
    """The head of a target's answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers that the caller gets.
    request_id : str
        Request that it answers by its own word.
    signed : bool
        Whether the target put its signature on it.
    not_run : bool
        Whether the target says that it did not run the request.
    misdirected : bool
        Whether another target than the one meant has the address.
    usable : bool
        Whether the body is the target's own, as far as the head tells.
    notice : TargetNotice
        What the target says of itself.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    request_id: str = ''
    signed: bool = False
    not_run: bool = False
    misdirected: bool = False
    usable: bool = True
    notice: TargetNotice = NO_NOTICE


@attrs.frozen(kw_only=True)
class OwnAnswer:
    """An answer that the router makes itself."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Codec(abc.ABC):
    """Reads and writes what callers and targets speak."""

    @abc.abstractmethod
    def read_request(
        self,
        request: CallerRequest,
        catalogue: Catalogue,
    ) -> RelayCall | RelayFault:
        """Return the call that a request makes under a configuration."""

    @abc.abstractmethod
    def target_headers(
        self,
        call: RelayCall,
        target: TargetEntry,
        time_left: float,
        last_event: str,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt.

        Parameters
        ----------
        call : RelayCall
            The request.
        target : TargetEntry
            Where it goes.
        time_left : float
            Seconds that the target has.
        last_event : str
            Event after which a stream goes on; empty for all of it.
        """

    @abc.abstractmethod
    def read_answer(self, status: int, headers: dict[str, str]) -> AnswerHead:
        """Return what the head of an answer says, names in lower case."""

    @abc.abstractmethod
    def refuse(self, fault: RelayFault) -> OwnAnswer:
        """Return the answer that tells a caller of a fault."""
