"""HTTP interface of the simulated engine."""

import asyncio

import attrs
from tornado.web import Application

from balsamreach.standins.engine import Engine
from balsamreach.standins.engine_chat import ChatHandler, GenerationHandler
from balsamreach.standins.engine_handler import EngineHandler
from balsamreach.standins.engine_settings import EngineSettings
from balsamreach.standins.handlers import StandinHandler, log_nothing

_SETTINGS = frozenset(field.name for field in attrs.fields(EngineSettings))
_READ_ONLY = frozenset(('ip', 'port', 'slots', 'cache_blocks', 'seed'))


class LoadHandler(EngineHandler):
    """``GET /load``."""

    def get(self) -> None:
        """Return the load report, which may lag."""
        self.reply(200, self.engine.load())


class CacheEventsHandler(EngineHandler):
    """``GET /cache-events``."""

    def get(self) -> None:
        """Return the events from sequence number ``since`` on."""
        since = int(self.get_query_argument('since', '0'))
        self.reply(200, self.engine.cache_events(since))


class OrdersHandler(EngineHandler):
    """``POST /orders``."""

    def post(self) -> None:
        """Apply an order, or answer 409 if it is outdated."""
        order = self.json_body()
        accepted = self.engine.orders.apply(order)
        self.reply(
            200 if accepted else 409, {'fence': self.engine.orders.fence}
        )
        if accepted and order.get('order') == 'power_off':
            # The response is sent first: the sender of the order waits for it.
            asyncio.get_running_loop().call_soon(self.engine.crash)


class ModelsHandler(EngineHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the served models."""
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': ''}
            for name in self.engine.cfg.models
        ]
        self.reply(200, {'object': 'list', 'data': models})


class EngineControlHandler(StandinHandler):
    """``/control``: settings and counters; a crashed engine answers too."""

    def initialize(self, engine: Engine) -> None:
        """Set the engine."""
        self.engine = engine

    def get(self) -> None:
        """Return settings, state and counters."""
        engine = self.engine
        state = {
            'crashed': engine.crashed,
            'fence': engine.orders.fence,
            'runs': engine.runs,
            'orders': engine.orders.accepted,
            'counters': engine.counters,
        }
        self.reply(200, attrs.asdict(engine.cfg) | state)

    def post(self) -> None:
        """Change the given settings and leave the others unchanged."""
        body = self.json_body()
        if not body.keys() <= (_SETTINGS - _READ_ONLY) | {'crashed'}:
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
    handler_args = {'engine': engine}
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
        [(path, handler, handler_args) for path, handler in routes],
        log_function=log_nothing,
    )
