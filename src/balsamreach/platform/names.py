"""Names of headers on the users' platform, each once, by what it holds."""

#: Identity of one try of a request, chosen by its caller, echoed in answers.
REQUEST_ID = 'Attempt-Id'
#: Milliseconds that the sender will wait.
TIME_LEFT_MS = 'Deadline-Ms'
#: Model asked for.
MODEL = 'Model-Name'
#: ``prompt tokens,most output tokens``.
TOKENS = 'Token-Counts'
#: ``id:tokens`` of each part of the prompt.
PROMPT_PARTS = 'Prompt-Prefix'
#: Event after which a stream goes on.
LAST_EVENT = 'Last-Event-Id'
#: Incarnation that a request is meant for.
MEANT_FOR = 'Expect-Instance'
#: Name of the team that pays.
TEAM = 'Tenant-Name'
#: Rank of a request at an engine, 0 to 9, 0 first.
RANK = 'Request-Priority'
#: Signature that a target puts on its answer.
SIGNATURE = 'Response-Stamp'
#: In an answer: the target did not run the request.
NOT_RUN = 'Not-Executed'
#: In an answer: the target that sent it will leave.
LEAVING = 'Server-Leaving'
#: Key of a team.
AUTHORIZATION = 'Authorization'

#: Headers that only the router may set; a caller's own are dropped.
ROUTERS_OWN = frozenset(
    name.lower()
    for name in (
        TIME_LEFT_MS,
        MEANT_FOR,
        TEAM,
        RANK,
        AUTHORIZATION,
        LAST_EVENT,
        'Expect-Version',
        'Kv-Hold',
        'Kv-Fetch',
        'Kv-From',
        'Kv-Backup',
        'Pin-Ms',
    )
)
#: Headers that concern one connection only.
ONE_CONNECTION = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
