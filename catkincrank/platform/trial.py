"""Trial of gateways, callers and a stand-in platform in one process.

A primary is killed, a gateway drains, and keys come and go while callers read
and write. The last line of output is the result as JSON; exit status 1 means
that a write ran twice, that a refused write took effect, that a request ran
with a withdrawn key, or that one was refused although its key was valid.
"""

import itertools
import random
import sys
from dataclasses import dataclass
from typing import Any, final

import anyio
import msgspec
from anyio.abc import TaskGroup

from catkincrank.gateway.callers import DISCONNECT_ERRORS
from catkincrank.gateway.daemon import Gateway
from catkincrank.gateway.options import Address, GatewayOptions
from catkincrank.platform.documents import CONFIG_KEY, CONFIG_TABLE
from catkincrank.platform.lines import LineReader
from catkincrank.platform.program import ADAPTER, DOCUMENTS
from catkincrank.platform.standin import PlatformStandIn
from catkincrank.standins.keyrotation import KeyRotation
from catkincrank.standins.memoryendpoints import MemoryEndpointGroup
from catkincrank.standins.memorylink import Run

__all__ = (
    'ENDPOINTS',
    'ROUTES',
    'SERVICE',
    'TrialFlags',
    'make_config',
    'run',
)

_HOST = '127.0.0.1'
SERVICE = 'ledger'
ENDPOINTS = ('i-a', 'i-b', 'i-c')
_GATEWAYS = ('vm-1', 'vm-2', 'vm-3')
ROUTES = {  # noqa: WPS407
    'strong': 'primary',
    'bounded': 'bounded_staleness',
    'own': 'read_your_writes',
}
_WRITE_SHARE = 0.2
_MAX_PAUSE_S = 0.02
# Shares of the duration of a trial.
_KILL_AT_SHARE = 0.3
_DRAIN_AT_SHARE = 0.7
_RECONNECT_DELAY_S = 0.2
_CONNECTIONS = 23
_TIMEOUT_MS = 800
_ROTATION_INTERVAL_S = 2.0
_ORGANISATIONS = ('org-a', 'org-b', 'org-c')
_FORMER_KEY_SHARE = 0.1
_VIOLATION_STATUS = 1
_VIOLATIONS = (
    'doubled',
    'refused_but_kept',
    'ran_without_key',
    'denied_wrongly',
    'misnamed',
)
_DIGITS = 3
_ID_BITS = 64


@final
@dataclass(frozen=True, slots=True)
class TrialFlags:
    """Options of a trial.

    Attributes:
        name: Name in log lines.
        seconds: Time for which callers send, in seconds.
        callers: Number of callers.
        port: First of the ports that gateways listen on.
        seed: Random seed of the load.
        keys: Whether callers need keys, which come and go.
    """

    name: str = 'trial'
    seconds: float = 20
    callers: int = 12
    port: int = 17400
    seed: int = 1
    keys: bool = True


@final
class _AnswerCounts:
    """Counts the answers that callers received.

    Args:
        rotation: Keys of the callers; ``None`` if they need none.
    """

    def __init__(self, rotation: KeyRotation | None) -> None:
        self.rotation = rotation
        self.keys: dict[bytes, str] = {}
        self.denied = 0
        self.denied_wrongly = 0
        self.served = 0
        self.refused: set[bytes] = set()
        self.in_doubt = 0
        self.write_answer_times: list[float] = []

    def record_denial(self, key: str, sent_at: float) -> None:
        """Record that a session or statement was refused for its key."""
        self.denied += 1
        rotation = self.rotation
        is_allowed = rotation is not None and (
            rotation.holdings[key].may_be_denied(sent_at)
            or rotation.holdings[key].may_be_denied(anyio.current_time())
        )
        self.denied_wrongly += not is_allowed

    def record(
        self, request_id: bytes, answer: bytes, *, is_write: bool
    ) -> None:
        """Record the answer to one request."""
        if answer.startswith(b'COMPLETE'):
            self.served += 1
            if is_write:
                self.write_answer_times.append(anyio.current_time())
        elif answer.startswith((b'ERROR INDOUBT', b'ERROR TIMEOUT')):
            self.in_doubt += 1
        else:
            self.refused.add(request_id)


async def run(flags: TrialFlags) -> None:
    """Run a trial.

    Raises:
        SystemExit: A write ran twice, or a refused write took effect.
    """
    group = MemoryEndpointGroup(SERVICE, ENDPOINTS)
    platform = PlatformStandIn({SERVICE: group})
    source = random.Random(flags.seed)
    rotation = None
    if flags.keys:
        rotation = KeyRotation(_ORGANISATIONS, source, anyio.current_time())
    counts = _AnswerCounts(rotation)
    async with anyio.create_task_group() as tasks:
        await tasks.start(platform.run)
        _write_config(platform, 1, rotation)
        gateways = await _start_gateways(flags, platform, tasks)
        await _run_with_faults(flags, group, platform, gateways, counts)
        tasks.cancel_scope.cancel()
    outcome = _summarise(counts, platform)
    line = msgspec.json.encode(outcome).decode('ascii')
    sys.stdout.write('{0}\n'.format(line))
    if any(outcome[name] for name in _VIOLATIONS):
        sys.exit(_VIOLATION_STATUS)


def _write_config(
    platform: PlatformStandIn, version: int, rotation: KeyRotation | None
) -> None:
    organisations = rotation and rotation.list_organisations()
    body = make_config(version, organisations=organisations)
    platform.rows.write(CONFIG_TABLE, [], {CONFIG_KEY: body})


async def _rotate_keys(
    platform: PlatformStandIn, rotation: KeyRotation
) -> None:
    for version in itertools.count(2):
        await anyio.sleep(_ROTATION_INTERVAL_S)  # noqa: WPS476
        rotation.rotate(anyio.current_time())
        _write_config(platform, version, rotation)


async def _run_with_faults(
    flags: TrialFlags,
    group: MemoryEndpointGroup,
    platform: PlatformStandIn,
    gateways: list[Gateway],
    counts: _AnswerCounts,
) -> None:
    """Run callers while a primary is killed and a gateway drains."""
    async with anyio.create_task_group() as callers:
        for number in range(flags.callers):
            callers.start_soon(_run_caller, flags, number, counts)
        if counts.rotation is not None:
            callers.start_soon(_rotate_keys, platform, counts.rotation)
        await anyio.sleep(flags.seconds * _KILL_AT_SHARE)
        group.newest_primary.is_up = False
        platform.register_all()
        await anyio.sleep(flags.seconds * (_DRAIN_AT_SHARE - _KILL_AT_SHARE))
        gateways[0].drain.start()
        await anyio.sleep(flags.seconds * (1 - _DRAIN_AT_SHARE))
        callers.cancel_scope.cancel()


async def _start_gateways(
    flags: TrialFlags,
    platform: PlatformStandIn,
    tasks: TaskGroup,
) -> list[Gateway]:
    gateways = []
    for number, name in enumerate(_GATEWAYS):
        ports = itertools.count(flags.port + number * len(_GATEWAYS) * 2)
        addresses = [Address(_HOST, next(ports)) for _ in range(4)]
        options = GatewayOptions(
            name,
            'zone-a',
            'region',
            *addresses,
            store='{0}:{1}'.format(_HOST, platform.ports['store']),
            promoter='{0}:{1}'.format(_HOST, platform.ports['promote']),
        )
        tasks.start_soon(_run_gateway, options, gateways)
    while len(gateways) < len(_GATEWAYS) or not all(map(_is_ready, gateways)):
        await anyio.sleep(_MAX_PAUSE_S)
    return gateways


async def _run_gateway(
    options: GatewayOptions,
    gateways: list[Gateway],
) -> None:
    async with anyio.create_task_group() as tasks:
        gateway = Gateway(options, ADAPTER, DOCUMENTS, tasks)
        gateways.append(gateway)
        await gateway.run()


def _is_ready(gateway: Gateway) -> bool:
    return gateway.drain.is_listening


async def _run_caller(
    flags: TrialFlags, number: int, counts: _AnswerCounts
) -> None:
    """Send requests in successive sessions."""
    source = random.Random(flags.seed * flags.callers + number)
    while True:
        gateway = source.randrange(len(_GATEWAYS))
        port = flags.port + gateway * len(_GATEWAYS) * 2
        try:
            stream = await anyio.connect_tcp(_HOST, port)
        except OSError:
            await anyio.sleep(_RECONNECT_DELAY_S)
            continue
        async with stream:
            try:
                await _use_session(stream, source, counts)
            except DISCONNECT_ERRORS:
                await anyio.sleep(_RECONNECT_DELAY_S)


async def _use_session(
    stream: Any,
    source: random.Random,
    counts: _AnswerCounts,
) -> None:
    reader = LineReader(stream)
    database = source.choice(tuple(ROUTES))
    key = 'caller'
    if counts.rotation is not None:
        key = counts.rotation.choose_key(_FORMER_KEY_SHARE)
    sent_at = anyio.current_time()
    startup = 'STARTUP {0} {1}\r\n'.format(database, key)
    await stream.send(startup.encode('ascii'))
    answer = await reader.read()
    while not answer.startswith(b'ERROR DENIED'):
        request_id = b'%016x' % source.getrandbits(_ID_BITS)
        counts.keys[request_id] = key
        sent_at = anyio.current_time()
        is_write = source.random() < _WRITE_SHARE
        text = b'WRITE k v' if is_write else b'READ k'
        await stream.send(b'QUERY %b %b\r\n' % (request_id, text))
        answer = await reader.read()
        while answer.startswith(b'ROW'):
            answer = await reader.read()
        await reader.read()
        counts.record(request_id, answer, is_write=is_write)
        await anyio.sleep(source.uniform(0, _MAX_PAUSE_S))
    counts.record_denial(key, sent_at)


def _summarise(
    counts: _AnswerCounts, platform: PlatformStandIn
) -> dict[str, Any]:
    """Compare the answers of callers with the statements that ran."""
    written = [run.request_id for run in platform.runs if run.text[:1] == b'W']
    reads = [run for run in platform.runs if run.text[:1] == b'R']
    times = sorted(counts.write_answer_times)
    gaps = [later - one for one, later in itertools.pairwise(times)]
    at_replicas = sum(not run.was_primary for run in reads)
    return {
        'served': counts.served,
        'refused': len(counts.refused),
        'in_doubt': counts.in_doubt,
        'doubled': len(written) - len(set(written)),
        'refused_but_kept': len(counts.refused.intersection(written)),
        'write_gap_s': round(max(gaps, default=0), _DIGITS),
        'promotions': len(platform.promotions),
        'replica_share': round(at_replicas / max(1, len(reads)), _DIGITS),
        'denied': counts.denied,
        'denied_wrongly': counts.denied_wrongly,
        **_judge_runs(counts, platform.runs),
    }


def _judge_runs(counts: _AnswerCounts, runs: list[Run]) -> dict[str, int]:
    """Compare the names and times at endpoints with the callers' keys."""
    rotation = counts.rotation
    if rotation is None:
        return {'ran_without_key': 0, 'misnamed': 0}
    judged = [
        (run, rotation.holdings[counts.keys[run.request_id]])
        for run in runs
        if run.request_id in counts.keys
    ]
    return {
        'ran_without_key': sum(
            not holding.may_run(run.at) for run, holding in judged
        ),
        'misnamed': sum(
            run.application != holding.organisation for run, holding in judged
        ),
    }


def make_config(
    version: int = 1,
    connections: int = _CONNECTIONS,
    timeout_ms: int = _TIMEOUT_MS,
    organisations: list[dict[str, Any]] | None = None,
    sync_replicas: int = 0,
) -> bytes:
    """Return a configuration with a route of each type.

    Args:
        version: Version of the configuration.
        connections: Connection limit of each endpoint.
        timeout_ms: Time limit of a statement, in milliseconds.
        organisations: Organisations with their keys; ``None`` if callers need
            no keys.
        sync_replicas: Replicas that receive a commit before it is acknowledged.
    """
    service = {
        'name': SERVICE,
        'max_connections': connections,
        'sync_replicas': sync_replicas,
    }
    optional = {} if organisations is None else {'tenants': organisations}
    return msgspec.json.encode(
        {
            **optional,
            'version': version,
            'routes': [
                {
                    'name': name,
                    'host': name,
                    'type': kind,
                    'service': SERVICE,
                    'timeout_ms': timeout_ms,
                    'max_staleness_ms': 1500,
                }
                for name, kind in ROUTES.items()
            ],
            'services': [service],
            'limits': {'tx_idle_ms': 3000},
        },
    )
