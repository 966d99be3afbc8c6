"""Messages for requests that one router forwards through another one."""

import attrs

from balsamreach.wire.base import Message


@attrs.frozen(repr=False)
class ForwardedRequest(Message):
    """A request that the receiver sends to a target for the sender.

    The body of the request follows the message.

    Parameters
    ----------
    fleet : str
        Name of the sender's fleet.
    sender : str
        Incarnation of the sender.
    request_id : str
        Identity of the caller's attempt.
    method, path : str
        Request line; the path includes the query.
    header_names, header_values : tuple of str
        Headers to forward to the target, in their order.
    service, route, team : str
        Names of what the request belongs to; no team on a public route.
    priority : int
        Priority; 0 is the highest.
    left_ms : int
        Milliseconds until the request's deadline when it was sent.
    aim_ms : int
        Milliseconds within which the response is on time.
    streams, idempotent, resumable : bool
        Properties of the route.
    last_event : str
        Id of the event after which a stream resumes; empty for all of it.
    has_prompt : bool
        Whether the following attributes describe a prompt.
    model : str
        Requested model.
    prompt_tokens, max_output_tokens : int
        Tokens of the prompt, and maximum tokens of the response.
    part_ids : tuple of str
        Parts of the prompt.
    part_tokens : tuple of int
        Tokens of each part.
    excluded : tuple of str
        Incarnations of targets that the request was already sent to.
    releases : tuple of str
        Releases that the target may have; empty for any.
    may_retry : bool
        Whether the sender may send the request to another target.
    """

    fleet: str
    sender: str
    request_id: str
    method: str
    path: str
    header_names: tuple[str, ...] = ()
    header_values: tuple[str, ...] = ()
    service: str = ''
    route: str = ''
    team: str = ''
    priority: int = 0
    left_ms: int = 0
    aim_ms: int = 0
    streams: bool = False
    idempotent: bool = False
    resumable: bool = False
    last_event: str = ''
    has_prompt: bool = False
    model: str = ''
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    part_ids: tuple[str, ...] = ()
    part_tokens: tuple[int, ...] = ()
    excluded: tuple[str, ...] = ()
    releases: tuple[str, ...] = ()
    may_retry: bool = False
