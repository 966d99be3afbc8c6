"""Abstract base of the translation between the relay and HTTP messages."""

import abc
from collections.abc import Sequence

import attrs

from balsamreach.catalogue.catalogue import Catalogue
from balsamreach.placement.notices import NO_NOTICE, TargetNotice
from balsamreach.placement.relay_targets import TargetEntry
from balsamreach.relay.call import RelayCall
from balsamreach.relay.faults import RelayFault

HeaderList = Sequence[tuple[str, str]]


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request as it was received.

    Parameters
    ----------
    method, path : str
        Request line; the path includes the query.
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


@attrs.frozen
class CacheCopy:
    """A copy of a request's KV cache at a backup engine.

    Parameters
    ----------
    address : str
        ``ip:port`` of the backup engine.
    is_source : bool
        Whether the attempt continues from the copy; otherwise its engine
        sends the copy.
    """

    address: str
    is_source: bool = False


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of a target's response.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (str, str)
        Headers to forward to the caller.
    request_id : str
        Id of the request that the response claims to answer; empty if it
        gives none.
    signed : bool
        Whether the target has signed the response.
    not_run : bool
        Whether the target says that it did not run the request.
    misdirected : bool
        Whether the address belongs to another target than the intended one.
    usable : bool
        Whether the body is the target's own, as far as the headers show.
    notice : TargetNotice
        What the target says about itself.
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
class RouterResponse:
    """A response that the router generates itself."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Codec(abc.ABC):
    """Translates the messages of callers and targets."""

    @abc.abstractmethod
    def read_request(
        self,
        request: CallerRequest,
        catalogue: Catalogue,
    ) -> RelayCall | RelayFault:
        """Return a validated request, or why it is refused.

        Parameters
        ----------
        request : CallerRequest
            The request as received.
        catalogue : Catalogue
            Configuration to validate it by.
        """

    @abc.abstractmethod
    def target_headers(
        self,
        call: RelayCall,
        target: TargetEntry,
        time_left: float,
        last_event: str,
        copy: CacheCopy | None = None,
    ) -> list[tuple[str, str]]:
        """Return the headers of an attempt.

        Parameters
        ----------
        call : RelayCall
            The request.
        target : TargetEntry
            Target that it is sent to.
        time_left : float
            Seconds until the deadline.
        last_event : str
            Id of the event after which a stream resumes; empty for all of it.
        copy : CacheCopy or None
            Copy that the target sends or continues from; None for neither.
        """

    @abc.abstractmethod
    def read_answer(self, status: int, headers: dict[str, str]) -> AnswerHead:
        """Return the parsed headers of a response, names in lower case."""

    @abc.abstractmethod
    def refuse(self, fault: RelayFault) -> RouterResponse:
        """Return the response that reports a fault to a caller."""
