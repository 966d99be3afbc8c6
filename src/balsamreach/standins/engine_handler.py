"""What the handlers of the stand-in engine share: silence, streams, cuts."""

from tornado.iostream import StreamClosedError
from tornado.web import Finish

from balsamreach.standins.engine import Engine
from balsamreach.standins.engine_streams import Generation
from balsamreach.standins.handlers import StandinHandler


class EngineHandler(StandinHandler):
    """Handler that a crashed engine drops and a silent one holds."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine in."""
        self.engine = engine
        self._reads: list[Generation] = []

    async def prepare(self) -> None:
        """Drop or hold the request where the engine doesn't answer."""
        self.engine.connections.add(self)
        self.announce(self.engine.cfg.leaving_header)
        if self.engine.crashed:
            self.drop()
            raise Finish
        await self.engine.audible.wait()
        if self.is_over:
            raise Finish

    def on_finish(self) -> None:
        """Forget the connection after its answer."""
        self._leave()

    def on_connection_close(self) -> None:
        """Note that the caller went away."""
        self._leave()

    def read_by(self, generation: Generation) -> None:
        """Count this connection among a generation's readers."""
        self._reads.append(generation)
        generation.readers += 1
        self.set_header('X-Engine-Request', generation.ident)
        for name, text in generation.headers.items():
            self.set_header(name, text)

    async def stream(self, generation: Generation, start: int) -> None:
        """Send a generation's events from one on until its end."""
        self.set_header('Content-Type', 'text/event-stream')
        try:
            await self._stream(generation, start)
        except StreamClosedError:
            self._leave()

    def close(self, generation: Generation) -> None:
        """End an answer: cut off if its generation was cancelled."""
        if generation.cancelled:
            self.drop()
            self._leave()
        elif not self.is_over:
            self.finish()

    async def _stream(self, generation: Generation, start: int) -> None:
        sent = start
        await self.flush()
        while sent < len(generation.events) or not generation.ended:
            if sent >= len(generation.events):
                await generation.news()
                continue
            await self.engine.audible.wait()
            if self.is_over:
                return
            self.write(f'data: {generation.events[sent]}\n\n')
            await self.flush()
            sent += 1
            if self.engine.cfg.cut_after and self._is_cut(sent - start):
                return
        self.close(generation)

    def _is_cut(self, sent: int) -> bool:
        if sent < self.engine.cfg.cut_after:
            return False
        self.drop()
        self._leave()
        return True

    def _leave(self) -> None:
        self.engine.connections.discard(self)
        generation = self._reads.pop() if self._reads else None
        if generation is not None:
            self.engine.generations.left(generation)
