"""Chat completions of the simulated engine: start, resume, cancel."""

from balsamreach.standins.engine_handler import EngineHandler
from balsamreach.standins.engine_streams import Generation
from balsamreach.standins.engine_text import prompt_of


class ChatHandler(EngineHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Generate a reply, as a stream or as one JSON object."""
        body = self.json_body()
        if self._refuse(body.get('model', '')):
            return
        crash_mark = self.engine.cfg.crash_mark
        if crash_mark and crash_mark in prompt_of(body):
            self.engine.crash()
            return
        generation = self._generation(body)
        self.read_by(generation)
        self.engine.start(generation)
        if body.get('stream'):
            await self.stream(generation, 0)
        else:
            await self._send_completion(generation)

    async def _send_completion(self, generation: Generation) -> None:
        while not generation.ended:
            await generation.wait_for_change()
        await self.engine.responsive.wait()
        if generation.cancelled or self.is_finished:
            self.end_response(generation)
        else:
            self.reply(200, generation.completion())

    def _refuse(self, model: str) -> bool:
        cfg = self.engine.cfg
        if cfg.leaving or self.engine.slots.full:
            self.engine.counters['not_run'] += 1
            self.reject(cfg.retry_after_s)
            self._error(503, 'engine takes no more requests')
        elif model not in cfg.models:
            self._error(404, 'no such model here')
        elif self.engine.draw_failure():
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
    """``/generations/<id>``: resume or cancel a generation."""

    async def get(self, ident: str) -> None:
        """Resume the stream at the event with index ``from``."""
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
