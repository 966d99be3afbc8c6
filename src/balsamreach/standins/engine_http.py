"""HTTP interface of the stand-in engine."""

import asyncio

import attrs
from tornado.iostream import StreamClosedError
from tornado.web import Application, Finish

from balsamreach.standins.engine import Engine
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.engine_streams import Generation
from balsamreach.standins.engine_text import prompt_of
from balsamreach.standins.handlers import StandinHandler, log_nothing

_SETTINGS = frozenset(field.name for field in attrs.fields(EngineSettings))
_FIXED = frozenset(('ip', 'port', 'slots', 'cache_blocks', 'seed'))
_NOT_RUN = 'X-Not-Run'


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
        sent = start
        try:
            await self._stream(generation, sent)
        except StreamClosedError:
            self._leave()

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
        self._close(generation)

    def _is_cut(self, sent: int) -> bool:
        if sent < self.engine.cfg.cut_after:
            return False
        self.drop()
        self._leave()
        return True

    def _close(self, generation: Generation) -> None:
        if generation.cancelled:
            self.drop()
            self._leave()
        elif not self.is_over:
            self.finish()

    def _leave(self) -> None:
        self.engine.connections.discard(self)
        generation = self._reads.pop() if self._reads else None
        if generation is not None:
            self.engine.generations.left(generation)


class ChatHandler(EngineHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Generate a reply, streamed or whole."""
        body = self.json_body()
        if self._is_refused(body.get('model', '')):
            return
        mark = self.engine.cfg.crash_mark
        if mark and mark in prompt_of(body):
            self.engine.crash()
            return
        generation = self._generation(body)
        self.read_by(generation)
        self.engine.start(generation)
        if body.get('stream'):
            await self.stream(generation, 0)
        else:
            await self._whole(generation)

    async def _whole(self, generation: Generation) -> None:
        while not generation.ended:
            await generation.news()
        await self.engine.audible.wait()
        if generation.cancelled or self.is_over:
            self._close(generation)
        else:
            self.reply(200, generation.whole())

    def _is_refused(self, model: str) -> bool:
        cfg = self.engine.cfg
        if cfg.leaving or self.engine.slots.full:
            self.engine.counters['not_run'] += 1
            self.set_header(_NOT_RUN, 'true')
            self._error(503, 'engine takes no more requests')
        elif model not in cfg.models:
            self._error(404, 'no such model here')
        elif self.engine.fails():
            self.engine.counters['failed'] += 1
            self._error(500, 'engine failure')
        else:
            return False
        return True

    def _error(self, status: int, message: str) -> None:
        kind = 'server_error' if status >= 500 else 'invalid_request_error'
        error = {'message': message, 'type': kind, 'param': None, 'code': None}
        self.reply(status, {'error': error})

    def _ident(self) -> str:
        cfg = self.engine.cfg
        incarnation, port = cfg.incarnation, cfg.port
        serial = self.engine.generations.next_serial()
        return f'{incarnation}-{port}-{serial}'

    def _generation(self, body: dict) -> Generation:
        headers = self.request.headers
        attempt = headers.get('X-Attempt-Id', '')
        key = headers.get('Idempotency-Key', '')
        self.engine.runs.update({attempt, key} - {''})
        return Generation(
            ident=self._ident(),
            body=body,
            created=int(self.engine.clock.wall()),
            usage_mode=self.engine.cfg.usage,
            keep_s=float(headers.get('X-Keep-Seconds', '0')),
            priority=int(headers.get('X-Priority', '0')),
            headers={'X-Attempt-Id': attempt} if attempt else {},
        )


class GenerationHandler(EngineHandler):
    """``/generations/<id>``: resume or cancel."""

    async def get(self, ident: str) -> None:
        """Resume the stream from its n-th event."""
        generation = self.engine.generations.find(ident)
        if generation is None:
            self.reply(404, {'error': 'no such generation'})
            return
        self.read_by(generation)
        start = int(self.get_query_argument('from', '0'))
        await self.stream(generation, max(0, start))

    def delete(self, ident: str) -> None:
        """Cancel a generation."""
        self.reply(204 if self.engine.generations.cancel(ident) else 404)


class LoadHandler(EngineHandler):
    """``GET /load``."""

    def get(self) -> None:
        """Return the lagging load report."""
        self.reply(200, self.engine.load())


class CacheEventsHandler(EngineHandler):
    """``GET /cache-events``."""

    def get(self) -> None:
        """Return what was stored and evicted."""
        since = int(self.get_query_argument('since', '0'))
        self.reply(200, self.engine.cache_events(since))


class OrdersHandler(EngineHandler):
    """``POST /orders``."""

    def post(self) -> None:
        """Take an order, or refuse an old fencing number."""
        order = self.json_body()
        taken = self.engine.orders.take(order)
        self.reply(200 if taken else 409, {'fence': self.engine.orders.fence})
        if taken and order.get('order') == 'power_off':
            # The answer leaves first; whoever ordered it waits for that.
            asyncio.get_running_loop().call_soon(self.engine.crash)


class ModelsHandler(EngineHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models served."""
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': ''}
            for name in self.engine.cfg.models
        ]
        self.reply(200, {'object': 'list', 'data': models})


class EngineControlHandler(StandinHandler):
    """``/control``: settings and counters, also of a crashed engine."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine in."""
        self.engine = engine

    def get(self) -> None:
        """Show settings, state and counters."""
        engine = self.engine
        state = {
            'crashed': engine.crashed,
            'fence': engine.orders.fence,
            'runs': engine.runs,
            'orders': engine.orders.taken,
            'counters': engine.counters,
        }
        self.reply(200, attrs.asdict(engine.cfg) | state)

    def post(self) -> None:
        """Change the settings named; the others stay as they are."""
        body = self.json_body()
        if not body.keys() <= (_SETTINGS - _FIXED) | {'crashed'}:
            self.reply(400, {'error': 'unknown or fixed setting'})
            return
        crashed = body.pop('crashed', self.engine.crashed)
        for name, setting in body.items():
            setattr(self.engine.cfg, name, setting)
        self.engine.set_silent(silent=self.engine.cfg.silent)
        if crashed and not self.engine.crashed:
            self.engine.crash()
        self.engine.crashed = crashed
        self.get()


def make_engine_app(engine: Engine) -> Application:
    """Return the application that serves an engine.

    Parameters
    ----------
    engine : Engine
        The engine to serve.
    """
    given = {'engine': engine}
    routes = (
        ('/v1/chat/completions', ChatHandler),
        ('/v1/models', ModelsHandler),
        ('/generations/([^/]+)', GenerationHandler),
        ('/load', LoadHandler),
        ('/cache-events', CacheEventsHandler),
        ('/orders', OrdersHandler),
        ('/control', EngineControlHandler),
    )
    return Application(
        [(path, handler, given) for path, handler in routes],
        log_function=log_nothing,
    )
