"""Base class of the simulated engine's HTTP handlers."""

from tornado.iostream import StreamClosedError
from tornado.web import Finish

from balsamreach.standins.engine import Engine
from balsamreach.standins.engine_streams import Generation
from balsamreach.standins.handlers import StandinHandler


class EngineHandler(StandinHandler):
    """Handler whose request a crashed engine drops and a silent one delays."""

    def initialize(self, engine: Engine) -> None:
        """Set the engine."""
        self.engine = engine
        self._read_generations: list[Generation] = []

    async def prepare(self) -> None:
        """Drop or delay the request if the engine is crashed or silent."""
        self.engine.connections.add(self)
        self.announce(self.engine.cfg.leaving_header)
        if self.engine.crashed:
            self.drop()
            raise Finish
        await self.engine.responsive.wait()
        if self.is_finished:
            raise Finish

    def on_finish(self) -> None:
        """Remove the connection after its response."""
        self._detach_reader()

    def on_connection_close(self) -> None:
        """Remove the connection after the caller closed it."""
        self._detach_reader()

    def read_by(self, generation: Generation) -> None:
        """Register this request as a reader of a generation."""
        self._read_generations.append(generation)
        generation.readers += 1
        self.set_header('X-Engine-Request', generation.ident)
        for name, text in generation.headers.items():
            self.set_header(name, text)

    async def stream(self, generation: Generation, start: int) -> None:
        """Send a generation's events from index ``start`` to its end."""
        self.set_header('Content-Type', 'text/event-stream')
        try:
            await self._stream(generation, start)
        except StreamClosedError:
            self._detach_reader()

    def end_response(self, generation: Generation) -> None:
        """End the response; drop the connection of a cancelled generation."""
        if generation.cancelled:
            self.drop()
            self._detach_reader()
        elif not self.is_finished:
            self.finish()

    async def _stream(self, generation: Generation, start: int) -> None:
        sent = start
        await self.flush()
        while sent < len(generation.events) or not generation.ended:
            if sent >= len(generation.events):
                await generation.wait_for_change()
                continue
            await self.engine.responsive.wait()
            if self.is_finished:
                return
            self.write(f'data: {generation.events[sent]}\n\n')
            await self.flush()
            sent += 1
            if self.engine.cfg.cut_after and self._cut_if_due(sent - start):
                return
        self.end_response(generation)

    def _cut_if_due(self, sent: int) -> bool:
        if sent < self.engine.cfg.cut_after:
            return False
        self.drop()
        self._detach_reader()
        return True

    def _detach_reader(self) -> None:
        self.engine.connections.discard(self)
        generation = (
            self._read_generations.pop() if self._read_generations else None
        )
        if generation is not None:
            self.engine.generations.remove_reader(generation)
