"""Names of the metrics of connections between routers."""

MESSAGES = 'balsamreach_peers_messages_total'
BYTES = 'balsamreach_peers_bytes_total'
#: Messages dropped: the queue was full or no request awaited the answer.
DROPPED = 'balsamreach_peers_dropped_total'
#: Refused connections and messages, by reason.
REFUSED = 'balsamreach_peers_refused_total'
#: Ended connections, by reason.
LINKS_ENDED = 'balsamreach_peers_links_ended_total'
DEATHS = 'balsamreach_peers_deaths_total'
#: Times that this process was paused for more than two heartbeats.
OWN_PAUSES = 'balsamreach_peers_own_pauses_total'
LINKS = 'balsamreach_peers_links'
MEMBERS = 'balsamreach_peers_members'
