"""Orders that a stand-in engine takes, and their fencing numbers."""

from typing import Any

import attrs

from balsamreach.standins.engine_settings import EngineSettings


@attrs.define
class OrderBook:
    """Orders taken so far and the newest fencing number among them.

    Parameters
    ----------
    cfg : EngineSettings
        Settings, which the orders change.
    """

    cfg: EngineSettings
    fence: int = 0
    taken: list[dict[str, Any]] = attrs.Factory(list)

    def take(self, order: dict[str, Any]) -> bool:
        """Carry an order out; False where it is old or for another start."""
        fence = order.get('fence', 0)
        if self.cfg.honour_fences and fence < self.fence:
            return False
        # An order that names no start is meant for whoever gets it.
        start = order.get('incarnation') or self.cfg.incarnation
        if self.cfg.honour_incarnations and start != self.cfg.incarnation:
            return False
        self.fence = max(self.fence, fence)
        self.taken.append(order)
        self._carry_out(order)
        return True

    def _carry_out(self, order: dict[str, Any]) -> None:
        kind = order.get('order')
        if kind in {'load_model', 'load_adapter'}:
            self._load(order.get('adapter') or order.get('model'))
        elif kind == 'set_role':
            self.cfg.role = order.get('role', '')
        elif kind == 'leave':
            self.cfg.leaving = True

    def _load(self, name: str | None) -> None:
        if name and name not in self.cfg.models:
            self.cfg.models.append(name)
