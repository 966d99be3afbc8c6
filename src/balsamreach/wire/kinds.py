"""The list of all message classes that the codec knows."""

from balsamreach.wire.answers import AnswerAsk, AnswerPart
from balsamreach.wire.base import Message
from balsamreach.wire.bills import BillCopies, BillCopy
from balsamreach.wire.forwarding import ForwardedRequest
from balsamreach.wire.loads import (
    HeavyTeams,
    LoadWords,
    TargetFailures,
    TargetLoad,
    TargetLoads,
    TargetRates,
)
from balsamreach.wire.loans import (
    LenderAsk,
    LenderGone,
    LoanAsk,
    LoanGrant,
    LoanReceipt,
    RecallAsk,
    RecallTold,
)
from balsamreach.wire.marks import InFlight, InFlightAsk, TargetMark
from balsamreach.wire.membership import (
    Heartbeat,
    Hello,
    Member,
    Members,
    MembersAsk,
)
from balsamreach.wire.part_reports import PartReport, PartReports
from balsamreach.wire.rates import (
    RateDemands,
    RatePart,
    RateShares,
    TeamUse,
    Uses,
)
from balsamreach.wire.releases import ReleaseAsk, ReleaseTold, StreamsBegun
from balsamreach.wire.replies import Done, Refused
from balsamreach.wire.runs import RunAsk, RunNote, RunsAsk, RunsKnown
from balsamreach.wire.suspicions import Suspicion
from balsamreach.wire.tables import (
    PowerRows,
    TableAsk,
    TablePage,
    TableRow,
    TableRows,
)
from balsamreach.wire.tokens import TokensAsk, TokensGrant, TokensUsed

#: All message classes, in the order of the schema.
MESSAGE_CLASSES: tuple[type[Message], ...] = (
    Member,
    Hello,
    Heartbeat,
    Members,
    MembersAsk,
    Refused,
    Done,
    TableAsk,
    TableRow,
    TableRows,
    Suspicion,
    BillCopy,
    BillCopies,
    LoanAsk,
    LoanGrant,
    LoanReceipt,
    RunNote,
    RunAsk,
    AnswerAsk,
    AnswerPart,
    TeamUse,
    Uses,
    TargetMark,
    InFlightAsk,
    InFlight,
    TargetLoad,
    TargetLoads,
    PowerRows,
    RunsAsk,
    RunsKnown,
    RatePart,
    RateDemands,
    RateShares,
    RecallAsk,
    RecallTold,
    LenderAsk,
    LenderGone,
    LoadWords,
    TablePage,
    TokensAsk,
    TokensGrant,
    TokensUsed,
    HeavyTeams,
    TargetFailures,
    TargetRates,
    ForwardedRequest,
    StreamsBegun,
    ReleaseAsk,
    ReleaseTold,
    PartReport,
    PartReports,
)
