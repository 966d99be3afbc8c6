"""The components of a router's budgets that use the peer network."""

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
    """Components that use the peer network."""

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
    """Create the components that use the peer network.

    Parameters
    ----------
    net : PeerNet
        The other routers.
    recorder, sizing, takeover
        Components of this router that they use.
    rng : Random
        Source of loan ids and the order of lenders.
    limit : int
        Maximum number of bill copies kept for other routers.
    """
    book, metrics = recorder.book, recorder.metrics
    sender = CopySender(net)
    keeper = CopyKeeper(
        net,
        takeover.closer,
        takeover.registration,
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
