"""The parts of a router's budgets that work with the other routers."""

import random

import attrs

from balsamreach.budget.copies import CopyKeeper, CopySender
from balsamreach.budget.copying import BillCopier
from balsamreach.budget.loans import Loans
from balsamreach.budget.reclaiming import Reclaimer
from balsamreach.budget.recorder import BillRecorder
from balsamreach.budget.sizing import Sizing
from balsamreach.budget.takeover import Takeover
from balsamreach.peers.base import PeerNet


@attrs.frozen
class PeerParts:
    """What works with the other routers."""

    loans: Loans
    sender: CopySender
    keeper: CopyKeeper
    copier: BillCopier
    reclaimer: Reclaimer


def make_peer_parts(
    net: PeerNet,
    recorder: BillRecorder,
    sizing: Sizing,
    takeover: Takeover,
    rng: random.Random,
    limit: int,
) -> PeerParts:
    """Put them together.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    recorder, sizing, takeover
        Parts of this router that they work with.
    rng : Random
        Loan ids and the order of lenders.
    limit : int
        Most copies of bills that are kept for others.
    """
    book, metrics = recorder.book, recorder.metrics
    sender = CopySender(net)
    keeper = CopyKeeper(
        net,
        takeover.closer,
        takeover.incarnations,
        takeover.stranded,
        metrics,
        limit,
    )
    loans = Loans(book, sizing, net, rng)
    return PeerParts(
        loans,
        sender,
        keeper,
        BillCopier(recorder, sender, keeper, book.clock),
        Reclaimer(net, takeover.stranded, loans, keeper, metrics),
    )
