"""Orders to a simulated engine, checked by fencing number."""

from typing import Any

import attrs

from balsamreach.standins.engine_settings import EngineSettings


@attrs.define
class OrderBook:
    """Accepted orders and the highest fencing number among them.

    Parameters
    ----------
    cfg : EngineSettings
        Settings that the orders change.
    """

    cfg: EngineSettings
    fence: int = 0
    accepted: list[dict[str, Any]] = attrs.Factory(list)

    def apply(self, order: dict[str, Any]) -> bool:
        """Apply an order; False if outdated or for another incarnation."""
        fence = order.get('fence', 0)
        if self.cfg.honour_fences and fence < self.fence:
            return False
        # An order without an incarnation applies to any.
        incarnation = order.get('incarnation') or self.cfg.incarnation
        if self.cfg.honour_incarnations and incarnation != self.cfg.incarnation:
            return False
        self.fence = max(self.fence, fence)
        self.accepted.append(order)
        self._apply_kind(order)
        return True

    def _apply_kind(self, order: dict[str, Any]) -> None:
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
