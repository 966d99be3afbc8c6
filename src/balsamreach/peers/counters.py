"""Names of what the peers layer measures."""

MESSAGES = 'balsamreach_peers_messages_total'
BYTES = 'balsamreach_peers_bytes_total'
#: Messages that a full queue had no room for, or that nobody awaited.
DROPPED = 'balsamreach_peers_dropped_total'
#: Connections and messages refused, by reason.
REFUSED = 'balsamreach_peers_refused_total'
#: Connections that ended, by reason.
ENDED = 'balsamreach_peers_links_ended_total'
DEATHS = 'balsamreach_peers_deaths_total'
#: Times that this process itself stood still beyond a heartbeat.
PAUSES = 'balsamreach_peers_own_pauses_total'
LINKS = 'balsamreach_peers_links'
MEMBERS = 'balsamreach_peers_members'
