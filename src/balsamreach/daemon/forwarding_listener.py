"""Listener for requests that other routers forward to this one."""

from collections.abc import Callable

import attrs

from balsamreach.daemon.listeners import OpenListener, open_listener
from balsamreach.daemon.relay_guards import RelayGuards
from balsamreach.daemon.relay_parts import RelayParts
from balsamreach.gateway.forwarding_server import ForwardingHandler
from balsamreach.gateway.relay_server import RelayServer
from balsamreach.relay.forwarded_run import ForwardedRunner


@attrs.define(eq=False)
class ForwardingListener:
    """Accepts requests of routers that reach no target of a service.

    Parameters
    ----------
    server : RelayServer
        Serves the connections.
    listener : OpenListener
        The open listener.
    runner : ForwardedRunner
        Runs the requests.
    """

    server: RelayServer
    listener: OpenListener
    runner: ForwardedRunner

    def leave(self) -> None:
        """Accept no more requests, and close idle connections."""
        self.listener.stop()
        self.server.leave()


def open_forwarding_listener(
    parts: RelayParts,
    guards: RelayGuards,
    is_ready: Callable[[], bool],
) -> ForwardingListener:
    """Open the listener, and set its address in this router's entry.

    Parameters
    ----------
    parts : RelayParts
        Components of the router, whose peer network isn't started yet.
    guards : RelayGuards
        Guards of the router's listeners.
    is_ready : callable
        Returns whether this router is ready for its own callers.
    """
    cfg, run = parts.cfg, parts.run
    runner = ForwardedRunner(
        # A request passes through one other router at most, and the router
        # that it comes from records its release.
        attrs.evolve(
            run.attempt_parts, forwarder=None, on_bound=lambda _call: None
        ),
        run.clock,
        run.log,
        lambda: is_ready() and not run.link.is_full(),
    )
    server = RelayServer(
        ForwardingHandler(cfg.peers.fleet, runner.run).answer,
        run.clock,
    )
    section = attrs.evolve(cfg.peers, port=cfg.peers.forwarding_port)
    listener = open_listener(cfg, section, guards.guard_forwarding(server))
    membership = parts.net.link_manager.membership
    membership.change_me(forwarding=listener.address, binds_releases=True)
    return ForwardingListener(server, listener, runner)
