"""Typed messages of the inner protocol."""

import attrs

#: Raised when a message changes in a way that older routers misread.
PROTOCOL_VERSION = 1


class Message:
    """Base of all messages."""

    def __repr__(self) -> str:
        """Return the class and its fields, as attrs would.

        Made by attrs for each class, it would take a third of the time in
        which this module is imported, at each start of a router.
        """
        fields = ', '.join(
            f'{field.name}={getattr(self, field.name)!r}'
            for field in attrs.fields(type(self))
        )
        return f'{type(self).__name__}({fields})'


@attrs.frozen(repr=False)
class Member(Message):
    """A router as others know it.

    Parameters
    ----------
    incarnation : str
        Identity of one start of the router.
    host : str
        Name of the host.
    address : str
        ``ip:port`` of its peers' listener.
    zone : str
        Availability zone.
    started : float
        Wall time of the start; of two incarnations on one address the
        later one holds.
    leaving : bool
        Whether it has begun a graceful shutdown.
    revision : int
        Raised by the router itself only; what is said about a lower
        revision is out of date.
    dead : bool
        Whether it is held to be dead at this revision. A router that lives
        and hears this raises its revision.
    link : int
        Mbit/s of its host's link; 0 where not known.
    """

    incarnation: str
    host: str
    address: str
    zone: str
    started: float = 0
    leaving: bool = False
    revision: int = 0
    dead: bool = False
    link: int = 0


@attrs.frozen(repr=False)
class Hello(Message):
    """First message on a connection, both ways."""

    version: int
    fleet: str
    member: Member
    table_version: int = 0


@attrs.frozen(repr=False)
class Heartbeat(Message):
    """Sent at a steady interval; its absence shows a silent connection.

    Parameters
    ----------
    table_version : int
        Version of the table in force at the sender.
    orders : int
        Digest of the evacuations that it knows; 0 for none.
    """

    table_version: int = 0
    orders: int = 0


@attrs.frozen(repr=False)
class Members(Message):
    """Routers that the sender knows, dead ones among them.

    Parameters
    ----------
    members : tuple of Member
        What the receiver may not know yet.
    wanted : bytes
        In an answer, the numbers of the parts of the list, one byte each,
        that the sender wants in turn.
    """

    members: tuple[Member, ...] = ()
    wanted: bytes = b''


@attrs.frozen(repr=False)
class MembersAsk(Message):
    """Asks for what differs from the sender's list of routers.

    Parameters
    ----------
    digest : bytes
        One hash for each part of the list.
    """

    digest: bytes


@attrs.frozen(repr=False)
class Refused(Message):
    """Answers a message, or a connection, that isn't taken.

    Parameters
    ----------
    code : str
        Fixed name of the reason.
    reason : str
        One sentence for a person.
    """

    code: str
    reason: str = ''


@attrs.frozen(repr=False)
class TableAsk(Message):
    """Asks for the rows written after a version."""

    since: int = 0


@attrs.frozen(repr=False)
class TableRow(Message):
    """A row of the table with its JSON; no JSON means deleted.

    Parameters
    ----------
    key : str
        Which row.
    version : int
        Raised by each change of it.
    body : str
        Its JSON; empty where the row is deleted or the JSON is packed.
    packed : bytes
        The JSON compressed, where it is large.
    """

    key: str
    version: int
    body: str = ''
    packed: bytes = b''


@attrs.frozen(repr=False)
class TableRows(Message):
    """Rows written between two versions of the table.

    Parameters
    ----------
    since, version : int
        The rows bring a view at ``since`` or later to ``version``.
    more : bool
        Whether to ask again from ``version``.
    """

    since: int
    version: int
    rows: tuple[TableRow, ...] = ()
    more: bool = False


@attrs.frozen(repr=False)
class Suspicion(Message):
    """A request that may crash targets, or the end of that suspicion.

    Parameters
    ----------
    fingerprint : str
        Hash of team, path and body.
    team : str
        Team that sent it.
    target : str
        Target that crashed, with its incarnation; empty where lifted.
    lifted : bool
        Whether an operator lifted the quarantine.
    at : float
        Wall time, so that a lift is not undone by older reports.
    unexplained : bool
        Whether the connection only broke and no crash is known of. ``at``
        is 0 then, which a router that does not know this field ignores.
    """

    fingerprint: str
    team: str
    target: str = ''
    lifted: bool = False
    at: float = 0
    unexplained: bool = False


@attrs.frozen(repr=False)
class BillCopy(Message):
    """One bill as a buddy keeps it."""

    team: str
    key: str
    tokens: int


@attrs.frozen(repr=False)
class BillCopies(Message):
    """Bills to keep until their maker says that they are recorded.

    Parameters
    ----------
    left : bool
        Whether the maker has stopped spending for good, so that its buddy
        may settle its bills and close its allotments.
    address : str
        The maker's address if another router passes its copies on.
    """

    incarnation: str
    bills: tuple[BillCopy, ...] = ()
    recorded: tuple[BillCopy, ...] = ()
    left: bool = False
    address: str = ''


@attrs.frozen(repr=False)
class LoanAsk(Message):
    """Asks for tokens of a team's budget out of the peer's allotment."""

    loan_id: str
    team: str
    tokens: int


@attrs.frozen(repr=False)
class LoanGrant(Message):
    """Tokens lent; the lender has taken them off already. 0 lends none.

    Parameters
    ----------
    left : int
        Tokens of the team that the lender still has for no request.
    reserved : int
        Tokens that it has set aside for requests in progress; a part of
        them comes free.
    """

    loan_id: str
    team: str
    tokens: int
    left: int = 0
    reserved: int = 0


@attrs.frozen(repr=False)
class LoanReceipt(Message):
    """Tells the lender that the loan arrived and is recorded."""

    loan_id: str
    incarnation: str


@attrs.frozen(repr=False)
class RecallAsk(Message):
    """Asks a router to hand back what it holds idle of a team's budget."""

    team: str


@attrs.frozen(repr=False)
class RecallTold(Message):
    """What a router has of a team's budget after it handed back.

    Parameters
    ----------
    spent : int
        Tokens of the bills that it made.
    held : int
        Tokens set aside for requests, or not handed back.
    """

    team: str
    spent: int = 0
    held: int = 0


@attrs.frozen(repr=False)
class LenderAsk(Message):
    """Asks whether anything of a dead lender is left; LenderGone answers."""

    incarnation: str


@attrs.frozen(repr=False)
class LenderGone(Message):
    """Tells what the sender has to do with a dead lender.

    Parameters
    ----------
    clear : bool
        Whether it has no unrecorded loan of it, will take none, keeps no
        bills of dead routers, and holds the lender for dead as well.
    """

    clear: bool


@attrs.frozen(repr=False)
class RunNote(Message):
    """Tells a key's home router who runs a request, and where.

    Parameters
    ----------
    incarnation : str
        Router that runs it; empty in an answer means that none is known.
    address : str
        That router's callers' listener.
    target, generation : str
        Target and its name for the generation, to resume it there.
    ended : bool
        Whether the answer is complete and kept by that router.
    sure : bool
        In an answer that names no router, whether it is certain that none
        ran the request.
    """

    team: str
    key: str
    fingerprint: str
    incarnation: str = ''
    address: str = ''
    target: str = ''
    generation: str = ''
    ended: bool = False
    sure: bool = False


@attrs.frozen(repr=False)
class RunAsk(Message):
    """Asks a key's home router who runs a request; a RunNote answers."""

    team: str
    key: str
    fingerprint: str


@attrs.frozen(repr=False)
class RunsAsk(Message):
    """Asks whether a router knows of any run of requests; RunsKnown answers."""

    runs: tuple[RunAsk, ...]


@attrs.frozen(repr=False)
class RunsKnown(Message):
    """Tells which of the requests asked for the sender knows to have begun.

    Parameters
    ----------
    runs : tuple of RunAsk
        Those that it runs, ran, or was told of.
    sure : bool
        Whether it can have lost no knowledge of others.
    members : bytes
        Hash of the routers that it holds to be alive.
    """

    runs: tuple[RunAsk, ...] = ()
    sure: bool = False
    members: bytes = b''


@attrs.frozen(repr=False)
class AnswerAsk(Message):
    """Asks the router that runs a request for a part of its answer."""

    team: str
    key: str
    fingerprint: str
    offset: int = 0


@attrs.frozen(repr=False)
class AnswerPart(Message):
    """Part of an answer from an offset on.

    Parameters
    ----------
    known : bool
        Whether the asked router has the answer at all.
    status : int
        HTTP status, 0 while it is not known.
    headers : tuple of str
        Names and texts in turn.
    body : bytes
        Bytes from the offset on, as far as they are there.
    ended, whole : bool
        Whether nothing more comes, and whether that is the whole answer.
    fault, reason, ran : str
        Code, sentence and ``no`` or ``unknown`` where it is not whole.
    """

    known: bool
    status: int = 0
    headers: tuple[str, ...] = ()
    body: bytes = b''
    ended: bool = False
    whole: bool = False
    fault: str = ''
    reason: str = ''
    ran: str = ''


@attrs.frozen(repr=False)
class TeamUse(Message):
    """One team's use at one router; told by earlier releases only."""

    team: str
    requests: int
    tokens: int
    running: int = 0


@attrs.frozen(repr=False)
class Uses(Message):
    """Use of rate-limited teams; told by earlier releases only.

    Routers of this release leave it, and count its senders as unheard.
    """

    incarnation: str
    window: int
    teams: tuple[TeamUse, ...] = ()


@attrs.frozen(repr=False)
class TargetMark(Message):
    """Tells that one start of a target is leaving, for good."""

    target: str
    incarnation: str


@attrs.frozen(repr=False)
class InFlightAsk(Message):
    """Asks how many requests a router has at a target."""

    target: str


@attrs.frozen(repr=False)
class InFlight(Message):
    """How many requests a router has at a target.

    Parameters
    ----------
    closed : bool
        Whether the router sends this target nothing more.
    """

    target: str
    requests: int
    closed: bool = False


@attrs.frozen(repr=False)
class TargetLoad(Message):
    """One target's load as its home router saw it.

    Parameters
    ----------
    age : float
        Seconds between the report and the sending of this message.
    reachable : bool
        Whether the home router reaches the target.
    """

    target: str
    incarnation: str
    running: int = 0
    queued: int = 0
    slots: int = 0
    leaving: bool = False
    age: float = 0
    reachable: bool = False


@attrs.frozen(repr=False)
class TargetLoads(Message):
    """Loads told to the routers of the zone."""

    loads: tuple[TargetLoad, ...] = ()


@attrs.frozen(repr=False)
class PowerRows(Message):
    """Power rows that the sender read or wrote."""

    rows: tuple[TableRow, ...] = ()


@attrs.frozen(repr=False)
class RatePart(Message):
    """Part of one team's rate limits.

    Parameters
    ----------
    team : int
        Hash of the team's name.
    part : int
        Millionths of the limits.
    """

    team: int
    part: int


@attrs.frozen(repr=False)
class RateDemands(Message):
    """Tells what teams with limits want of them.

    Parameters
    ----------
    level : int
        0 from a router to all others, 1 from a router to its zone's home
        of a group, 2 from that home to the group's root.
    group : int
        Group of teams.
    window : int
        Number of the sender's words; a later one has a higher number.
    routers : int
        Routers that the sender speaks for.
    urgent : bool
        Whether requests are refused until an answer comes.
    parts : tuple of RatePart
        What is wanted.
    """

    level: int
    group: int
    window: int
    routers: int = 1
    urgent: bool = False
    parts: tuple[RatePart, ...] = ()


@attrs.frozen(repr=False)
class RateShares(Message):
    """Grants shares of teams' limits for what a RateDemands wanted.

    Parameters
    ----------
    level, group, window : int
        Those of the word that this answers.
    routers : int
        Routers whose demand the shares follow.
    parts : tuple of RatePart
        Shares. A team that is left out is far from its limit, and has
        more than it wanted.
    """

    level: int
    group: int
    window: int
    routers: int = 0
    parts: tuple[RatePart, ...] = ()


@attrs.frozen(repr=False)
class Done(Message):
    """Answers a message that asks for nothing but to be taken."""


@attrs.frozen(repr=False)
class LoadWords(Message):
    """Loads at targets, as one column for each figure.

    Told several times a second, they are most of what routers send; a list
    of structs costs four times the processor time to read.

    Parameters
    ----------
    scope : str
        Whose they are: the sender's own, its zone's, or the whole fleet's.
    targets : tuple of str
        Incarnations.
    running : tuple of int
        Requests there.
    unread : tuple of int
        Prompt tokens there that are not read yet.
    """

    scope: str
    targets: tuple[str, ...] = ()
    running: tuple[int, ...] = ()
    unread: tuple[int, ...] = ()


@attrs.frozen(repr=False)
class TablePage(Message):
    """What the sender has just heard of a table that it follows.

    Parameters
    ----------
    table : str
        The table.
    since : int
        Version after which the rows changed.
    version : int
        Version up to which nothing else changed.
    rows : bytes
        The rows, packed; empty for none.
    """

    table: str
    since: int
    version: int
    rows: bytes = b''


@attrs.frozen(repr=False)
class TokensAsk(Message):
    """Asks a team's home to set tokens aside for one request.

    Parameters
    ----------
    number : int
        No other ask of the sender has it.
    team : str
        Whose budget.
    tokens : int
        Most that the request may use.
    """

    number: int
    team: str
    tokens: int


@attrs.frozen(repr=False)
class TokensGrant(Message):
    """Answer of a team's home.

    Parameters
    ----------
    granted : bool
        Whether the tokens are set aside.
    code, reason : str
        Why not.
    spent : int
        Tokens that the home has seen the team use.
    """

    granted: bool
    code: str = ''
    reason: str = ''
    spent: int = 0


@attrs.frozen(repr=False)
class TokensUsed(Message):
    """Tells a home what requests used of the tokens set aside for them.

    Parameters
    ----------
    numbers : tuple of int
        The asks.
    used : tuple of int
        Tokens that each one used; the rest is free again.
    """

    numbers: tuple[int, ...] = ()
    used: tuple[int, ...] = ()
