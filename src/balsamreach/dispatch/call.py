"""A caller's request after parsing and validation."""

from typing import Any

import attrs

from balsamreach.requests.identity import RequestId
from balsamreach.table.rows import TeamRow


@attrs.frozen
class Call:
    """Everything needed to run a request.

    Parameters
    ----------
    req : RequestId
        Identity of the request.
    team : TeamRow
        The team's row as it was when the request arrived.
    kind : str
        ``engine`` or ``service``.
    name : str
        Requested model or service.
    method, path : str
        HTTP method and path sent to the target.
    headers : dict of str to str
        Headers sent to the target.
    body : bytes
        Body sent to the target.
    stream : bool
        Whether the answer is a stream of server-sent events.
    wants_usage : bool
        Whether the caller asked for the usage event of a stream.
    idempotent : bool
        Whether the request may run more than once.
    prefix : bytes
        Leading part of the prompt, for cache affinity.
    reserved_tokens : int
        Maximum number of tokens the request can use; reserved up front.
    max_completion_tokens : int
        Maximum number of completion tokens among them; 0 for no limit.
    prompt_tokens : int
        Estimated prompt tokens, billed if the target reports no usage.
    deadline : float
        Monotonic time in seconds by which the answer must be complete.
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
    reserved_tokens: int
    deadline: float
    wants_usage: bool = False
    prefix: bytes = b''
    max_completion_tokens: int = 0
    prompt_tokens: int = 0
    trace: Any = None
