"""What routers say of the load at targets, and how long it holds."""

from collections.abc import Iterable, Iterator

import attrs

from balsamreach.wire.loads import LoadWords

#: Seconds after which a load that stays the same is told again.
_AGAIN_S = 1.0
#: Seconds after which a word counts no more: who said it was cut off, or died.
STALE_S = 2.5


@attrs.frozen
class Word:
    """What was said of one target.

    Parameters
    ----------
    running : int
        Requests there.
    unread : int
        Prompt tokens there that are not read yet.
    at : float
        Monotonic seconds.
    """

    running: int
    unread: int
    at: float = 0


NOTHING = Word(0, 0)


@attrs.frozen(kw_only=True)
class Grain:
    """How much a load must change to be told of.

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
class Told:
    """What was told last, so that only what changed is told.

    Parameters
    ----------
    scope : str
        Whose loads they are.
    grain : Grain
        What is worth a word.
    """

    scope: str
    grain: Grain
    _words: dict[str, Word] = attrs.field(factory=dict)

    def news(
        self,
        loads: Iterable[tuple[str, Word]],
        now: float,
    ) -> LoadWords | None:
        """Return what there is to tell, taken for told; None for nothing."""
        changed = [
            (target, Word(load.running, load.unread, now))
            for target, load in loads
            if self._is_news(target, load, now)
        ]
        if not changed:
            return None
        self._words.update(changed)
        return LoadWords(
            self.scope,
            tuple(target for target, _ in changed),
            tuple(load.running for _, load in changed),
            tuple(load.unread for _, load in changed),
        )

    def of(self, target: str) -> Word:
        """Return what was told of a target."""
        return self._words.get(target, NOTHING)

    def _is_news(self, target: str, load: Word, now: float) -> bool:
        told = self.of(target)
        if not load.running:
            # The last word would stand until it is stale: that nothing is
            # left is always told.
            return told.running > 0
        # A word that is about to be stale is as good as none.
        if now - told.at > _AGAIN_S:
            return True
        running = abs(load.running - told.running)
        unread = abs(load.unread - told.unread)
        return running >= self.grain.running or unread >= self.grain.unread


def read_words(
    message: LoadWords,
    now: float,
) -> Iterator[tuple[str, Word]]:
    """Yield each target of a message with what was said of it."""
    columns = zip(
        message.targets,
        message.running,
        message.unread,
        strict=False,
    )
    for target, running, unread in columns:
        yield target, Word(running, unread, now)


@attrs.define(eq=False)
class Heard:
    """Words of several speakers, summed up by target."""

    _said: dict[str, dict[str, Word]] = attrs.field(factory=dict)

    def take(self, speaker: str, message: LoadWords, now: float) -> None:
        """Take what one speaker says."""
        said = self._said.setdefault(speaker, {})
        for target, word in read_words(message, now):
            if word.running:
                said[target] = word
            else:
                said.pop(target, None)

    def add_to(self, sums: dict[str, Word], now: float) -> None:
        """Add what holds still, and forget what doesn't."""
        for speaker, said in tuple(self._said.items()):
            for target, word in tuple(said.items()):
                if word.at < now - STALE_S:
                    said.pop(target)
                    continue
                known = sums.get(target, NOTHING)
                sums[target] = Word(
                    known.running + word.running,
                    known.unread + word.unread,
                )
            if not said:
                self._said.pop(speaker)
