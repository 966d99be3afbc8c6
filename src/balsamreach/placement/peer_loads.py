"""Loads at targets as routers report them to each other."""

from collections.abc import Iterable, Iterator

import attrs

from balsamreach.wire.loads import LoadWords

#: Seconds after which an unchanged load is sent again.
_RESEND_S = 1.0
#: Seconds after which a load is ignored: its sender was cut off, or died.
STALE_S = 2.5


@attrs.frozen
class Load:
    """The reported load of one target.

    Parameters
    ----------
    running : int
        Requests there.
    unread : int
        Prompt tokens there that are not processed yet.
    time : float
        Monotonic seconds.
    """

    running: int
    unread: int
    time: float = 0


NO_LOAD = Load(0, 0)


@attrs.frozen(kw_only=True)
class Threshold:
    """The smallest change of a load that is sent.

    Parameters
    ----------
    running : int
        Requests.
    unread : int
        Prompt tokens.
    """

    running: int
    unread: int


@attrs.define(eq=False)
class SentLoads:
    """The loads that were sent last, so that only changes are sent.

    Parameters
    ----------
    scope : str
        Whose loads they are, as in ``LoadWords``.
    threshold : Threshold
        The smallest change that is sent.
    """

    scope: str
    threshold: Threshold
    _loads: dict[str, Load] = attrs.field(factory=dict)

    def changes(
        self,
        loads: Iterable[tuple[str, Load]],
        now: float,
    ) -> LoadWords | None:
        """Return the message to send now, None if there is nothing to send.

        The loads in the message are recorded as sent.
        """
        changed = [
            (target, Load(load.running, load.unread, now))
            for target, load in loads
            if self._is_due(target, load, now)
        ]
        if not changed:
            return None
        self._loads.update(changed)
        return LoadWords(
            self.scope,
            tuple(target for target, _ in changed),
            tuple(load.running for _, load in changed),
            tuple(load.unread for _, load in changed),
        )

    def last(self, target: str) -> Load:
        """Return the load of a target that was sent last."""
        return self._loads.get(target, NO_LOAD)

    def _is_due(self, target: str, load: Load, now: float) -> bool:
        sent = self.last(target)
        if not load.running:
            # A target without requests is always sent, or its last load
            # would count until it is stale.
            return sent.running > 0
        # A load that is about to be stale has to be sent again.
        if now - sent.time > _RESEND_S:
            return True
        running = abs(load.running - sent.running)
        unread = abs(load.unread - sent.unread)
        return (
            running >= self.threshold.running or unread >= self.threshold.unread
        )


def read_loads(
    message: LoadWords,
    now: float,
) -> Iterator[tuple[str, Load]]:
    """Yield each target of a message with its load."""
    columns = zip(
        message.targets,
        message.running,
        message.unread,
        strict=False,
    )
    for target, running, unread in columns:
        yield target, Load(running, unread, now)


@attrs.define(eq=False)
class ReceivedLoads:
    """Loads that several senders reported, added up by target."""

    _by_sender: dict[str, dict[str, Load]] = attrs.field(factory=dict)

    def receive(self, sender: str, message: LoadWords, now: float) -> None:
        """Store the loads of a sender's message."""
        loads = self._by_sender.setdefault(sender, {})
        for target, load in read_loads(message, now):
            if load.running:
                loads[target] = load
            else:
                loads.pop(target, None)

    def add_to(self, sums: dict[str, Load], now: float) -> None:
        """Add the current loads to sums by target, and drop stale ones."""
        for sender, loads in tuple(self._by_sender.items()):
            for target, load in tuple(loads.items()):
                if load.time < now - STALE_S:
                    loads.pop(target)
                    continue
                known = sums.get(target, NO_LOAD)
                sums[target] = Load(
                    known.running + load.running,
                    known.unread + load.unread,
                )
            if not loads:
                self._by_sender.pop(sender)
