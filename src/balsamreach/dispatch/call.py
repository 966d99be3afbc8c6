"""A caller's request once it has been read and checked."""

from typing import Any

import attrs

from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TeamRow


@attrs.frozen
class Call:
    """All that is needed to run a request.

    Parameters
    ----------
    req : RequestId
        Its identity.
    team : TeamRow
        The team's row as it stood when the request came.
    kind : str
        ``engine`` or ``service``.
    name : str
        Model or service asked for.
    method, path : str
        Request line at the target.
    headers : dict of str to str
        Headers passed on to the target.
    body : bytes
        Body passed on to the target.
    stream : bool
        Whether the answer is a stream of events.
    wants_usage : bool
        Whether the caller asked for the usage event of a stream.
    idempotent : bool
        Whether the request may run more than once.
    prefix : bytes
        Leading part of the prompt, for affinity.
    most_tokens : int
        Worst case that is reserved.
    most_completion : int
        Completion tokens within the worst case; 0 for no bound.
    prompt_tokens : int
        Estimate of the prompt's tokens, billed where usage is missing.
    deadline : float
        Monotonic seconds by which the answer must be whole.
    trace : object
        Context of the caller's trace.
    """

    req: RequestId
    team: TeamRow
    kind: str
    name: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    idempotent: bool
    most_tokens: int
    deadline: float
    wants_usage: bool = False
    prefix: bytes = b''
    most_completion: int = 0
    prompt_tokens: int = 0
    trace: Any = None
