"""Pool of curl handles that runs transfers."""

import errno
import sys
from collections.abc import Callable
from functools import partial

import attrs
import pycurl

from balsamreach.dispatch.upstream import (
    BROKEN,
    NO_MEMORY,
    NOT_SENT,
    REJECTED,
    SILENT,
    ConnectFailure,
    Intake,
    UpstreamFault,
)
from balsamreach.gateway.curl_loop import CurlLoop, TransferEnd
from balsamreach.gateway.curl_transfer import Transfer
from balsamreach.gateway.curl_watch import (
    ENDLESS_CODE,
    SILENCE_CODE,
    TransferWatch,
)
from balsamreach.gateway.receiving_turns import ReceivingTurns
from balsamreach.memory.answers import AnswerMemory

#: Maximum number of idle handles kept for reuse.
_MAX_IDLE_HANDLES = 1024
#: Curl's code for a head that exceeds curl's own limits; pycurl has no name
#: for it.
_TOO_LARGE = 100
#: Codes of exchanges whose bytes are no answer: no HTTP, a malformed head, one
#: that is too large by curl's limits or by ours, or no end. The target hasn't
#: closed the connection.
_NO_ANSWER_CODES = frozenset(
    (
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_BAD_CONTENT_ENCODING,
        pycurl.E_WRITE_ERROR,
        _TOO_LARGE,
        ENDLESS_CODE,
    )
)

#: Sets all options of a reset handle.
Prepare = Callable[[pycurl.Curl, Transfer], None]


@attrs.define
class CurlHandles:
    """Curl handles of one client, which share a pool of connections.

    Parameters
    ----------
    memory : AnswerMemory
        Memory of the process for answers.
    """

    memory: AnswerMemory = attrs.Factory(partial(AnswerMemory, sys.maxsize))
    _turns: ReceivingTurns = attrs.field(factory=ReceivingTurns)
    _loop: CurlLoop = attrs.field(factory=CurlLoop)
    _idle: list[pycurl.Curl] = attrs.field(factory=list)

    async def send(
        self,
        prepare: Prepare,
        intake: Intake,
    ) -> UpstreamFault | None:
        """Run one transfer and pass the answer to its intake.

        Parameters
        ----------
        prepare : callable
            Sets the options of the handle.
        intake : Intake
            Receives the answer.

        Returns
        -------
        UpstreamFault or None
            None on success, otherwise NOT_SENT, NO_MEMORY, REJECTED, SILENT or
            BROKEN.
        """
        transfer = Transfer(intake, self.memory, self._turns)
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        prepare(curl, transfer)
        watch = TransferWatch(self._loop, curl, transfer)
        watch.start()
        try:
            end = await self._loop.perform(curl)
            os_error = curl.getinfo(pycurl.OS_ERRNO)
        finally:
            watch.stop()
            self._release(curl)
        return _fault_of(end, transfer, os_error)

    def close(self) -> None:
        """Close all connections."""
        self._loop.close()
        while self._idle:
            self._idle.pop().close()

    def _release(self, curl: pycurl.Curl) -> None:
        curl.reset()
        if len(self._idle) < _MAX_IDLE_HANDLES:
            self._idle.append(curl)
        else:
            curl.close()


def set_callbacks(curl: pycurl.Curl, transfer: Transfer) -> None:
    """Register a transfer's callbacks at a handle."""
    curl.setopt(pycurl.PREREQFUNCTION, transfer.on_prereq)
    curl.setopt(pycurl.HEADERFUNCTION, transfer.on_header_line)
    curl.setopt(pycurl.WRITEFUNCTION, transfer.on_body)


def _connect_failure(code: int, os_error: int) -> ConnectFailure:
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return ConnectFailure.TIMED_OUT
    # Curl has one error code for a refused connection and for an address
    # without a route.
    if code == pycurl.E_COULDNT_CONNECT and os_error == errno.ECONNREFUSED:
        return ConnectFailure.REFUSED
    return ConnectFailure.OTHER


def _fault_of(
    end: TransferEnd, transfer: Transfer, os_error: int
) -> UpstreamFault | None:
    if end.code == pycurl.E_OK and transfer.head_complete:
        return None
    # Curl reports no error for a connection that closes within the head; the
    # partial head would pass for an answer with an empty body. Hence E_OK
    # counts only if the whole head was received.
    # Curl's error codes don't distinguish a timed-out connection from a
    # timed-out answer. Only the fact that sending never began proves that
    # the request was not sent.
    if not transfer.intake.sent:
        failure = _connect_failure(end.code, os_error)
        reason = end.message or 'no connection in time'
        return NOT_SENT.because_of(failure, reason)
    if transfer.lacks_memory:
        return NO_MEMORY.because(transfer.intake.problem)
    if transfer.intake.problem:
        return REJECTED.because(transfer.intake.problem)
    if end.code == SILENCE_CODE:
        return SILENT.because('no data within the gap timeout')
    fault = BROKEN.because(
        transfer.abort_reason or end.message or 'no whole head'
    )
    closed = _is_closed_by_target(end.code, os_error)
    return attrs.evolve(
        fault,
        closed_by_target=closed,
        closed_here=end.code in _NO_ANSWER_CODES,
    )


def _is_closed_by_target(code: int, os_error: int) -> bool:
    # Curl reports a malformed chunk with the same code as a reset connection,
    # but the target that sent it may still be running the request.
    if code == pycurl.E_RECV_ERROR:
        return os_error == errno.ECONNRESET
    return code == pycurl.E_PARTIAL_FILE
