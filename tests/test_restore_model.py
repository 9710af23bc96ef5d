"""Model check of the lease over restorations of the store.

Two processes read, take over, write as holders and promote, in every order up
to a bound. Writes may be delivered late, or without an answer, and the store
may return from an older copy. Searches all reachable states.
"""

from dataclasses import dataclass, replace

import pytest

from catkincrank.gateway.fleetrecords import (
    HOLDER_KEY,
    HolderRecord,
    encode_record,
)
from catkincrank.gateway.leaserows import HeldLease, RowWrite, plan_takeover
from catkincrank.gateway.rowstore import ORIGIN, Condition, Revision

MAX_STEPS = 11
MAX_RESTORATIONS = 2
GROUP_KEY = 'group/svc'
NAMES = ('p', 'q')


@dataclass(frozen=True)
class Copy:
    """Rows of the store: key, version and body."""

    version: int = 0
    rows: tuple[tuple[str, int, bytes], ...] = ()

    def find(self, key):
        return next((row[1:] for row in self.rows if row[0] == key), (0, b''))

    def write(self, plan):
        if any(
            self.find(one.key)[0] != one.revision.version
            for one in plan.conditions
        ):
            return None
        version = self.version + 1
        rows = {key: (seen, body) for key, seen, body in self.rows}
        for key in plan.removed:
            rows.pop(key, None)
        rows.update((key, (version, body)) for key, body in plan.bodies)
        return Copy(
            version, tuple(sorted((key, *row) for key, row in rows.items()))
        )


@dataclass(frozen=True)
class Pending:
    """A write under way."""

    conditions: tuple[Condition, ...]
    bodies: tuple[tuple[str, bytes], ...]
    removed: tuple[str, ...]

    @classmethod
    def of(cls, plan):
        return cls(
            tuple(plan.conditions),
            tuple(sorted(plan.bodies.items())),
            tuple(plan.removed),
        )


@dataclass(frozen=True)
class Process:
    """What a process knows, and its write under way."""

    era: int = 0
    holder: tuple | None = None
    group: Revision = ORIGIN
    held: HeldLease | None = None
    tried: HolderRecord | None = None
    pending: Pending | None = None
    takeovers: int = 0


@dataclass(frozen=True)
class World:
    """State of the model."""

    era: int = 0
    copies: tuple[Copy, ...] = (Copy(),)
    processes: tuple[Process, ...] = (Process(), Process())
    promotions: tuple[tuple[int, str], ...] = ()

    @property
    def store(self):
        return self.copies[-1]

    def change(self, index, **changes):
        processes = list(self.processes)
        processes[index] = replace(processes[index], **changes)
        return replace(self, processes=tuple(processes))


class Restorable:
    """Takeovers as the gateway plans them."""

    def plan(self, holder, own):
        return plan_takeover(holder, own)

    def list_conditions(self, held):
        return held.conditions

    def make_token(self, held):
        return held.token


class ByVersion:
    """Takeovers identified by the version of the holder's row alone."""

    def plan(self, holder, own):
        revision = ORIGIN if holder is None else holder[0]
        return RowWrite(
            (Condition(HOLDER_KEY, revision),),
            {HOLDER_KEY: encode_record(own)},
        )

    def list_conditions(self, held):
        return (Condition(HOLDER_KEY, held.revision),)

    def make_token(self, held):
        return held.revision.version


def _find_holder(world, records):
    version, body = world.store.find(HOLDER_KEY)
    return (Revision(world.era, version), records[body]) if version else None


def _read(world, index, records):
    process = world.processes[index]
    holder = _find_holder(world, records)
    held = process.held
    if held and (holder is None or holder[0] != held.revision):
        held = None
    if holder and held is None and holder[1] == process.tried:
        held = HeldLease(holder[1], holder[0])
        held = held if holder[1].era == world.era else None
    group = Revision(world.era, world.store.find(GROUP_KEY)[0])
    return world.change(
        index, era=world.era, holder=holder, group=group, held=held
    )


def _send_takeover(world, index, records, rules):
    process = world.processes[index]
    if process.held or process.pending or process.takeovers == 2:
        return None
    lease = '{0}{1}'.format(NAMES[index], process.takeovers)
    own = HolderRecord(NAMES[index], 'i', lease, process.era)
    records[encode_record(own)] = own
    return world.change(
        index,
        tried=own,
        pending=Pending.of(rules.plan(process.holder, own)),
        takeovers=process.takeovers + 1,
    )


def _send_group(world, index, rules):
    process = world.processes[index]
    if process.held is None or process.pending:
        return None
    conditions = (
        *rules.list_conditions(process.held),
        Condition(GROUP_KEY, process.group),
    )
    body = process.held.record.lease.encode()
    return world.change(
        index, pending=Pending(conditions, ((GROUP_KEY, body),), ())
    )


def _deliver(world, index, records, *, is_answered):
    process = world.processes[index]
    if process.pending is None:
        return None
    written = world.store.write(process.pending)
    after = world.change(index, pending=None)
    if written is None:
        return after
    writer = dict(process.pending.bodies).get(GROUP_KEY)
    if writer is not None:
        holder = _find_holder(world, records)
        assert holder[1].lease.encode() == writer, 'written by a past holder'
    after = replace(after, copies=(*after.copies, written))
    if is_answered and world.era == process.era:
        return _read(after, index, records)
    return after


def _promote(world, index, rules):
    process = world.processes[index]
    if process.held is None or len(world.promotions) == 3:
        return None
    plan = Pending(rules.list_conditions(process.held), (), ())
    # The answer to the heartbeat before a promotion carries the era.
    if world.store.write(plan) is None or world.era != process.era:
        return None
    token = rules.make_token(process.held)
    lease = process.held.record.lease
    for known, known_lease in world.promotions:
        assert known <= token, 'a lower token'
        assert known != token or known_lease == lease, 'a token used twice'
    return replace(world, promotions=(*world.promotions, (token, lease)))


def _restore(world, back):
    if world.era == MAX_RESTORATIONS or back >= len(world.copies):
        return None
    copies = world.copies[:-back] if back else world.copies
    return replace(world, era=world.era + 1, copies=copies)


def _list_next(world, records, rules, *, writes_groups):
    for back in (0, 1, 2):
        yield _restore(world, back)
    for index in range(len(NAMES)):
        yield _read(world, index, records)
        yield _send_takeover(world, index, records, rules)
        if writes_groups:
            yield _send_group(world, index, rules)
        yield _deliver(world, index, records, is_answered=True)
        yield _deliver(world, index, records, is_answered=False)
        yield _promote(world, index, rules)


def _search(rules, *, writes_groups=True):
    """Return the number of states within a number of steps."""
    records = {}
    seen = {World()}
    edge = [World()]
    for _ in range(MAX_STEPS):
        found = set()
        for world in edge:
            found.update(
                _list_next(world, records, rules, writes_groups=writes_groups)
            )
        found.discard(None)
        edge = list(found - seen)
        seen.update(edge)
    return len(seen)


def test_no_order_of_restorations_breaks_the_lease():
    assert _search(Restorable()) > 100_000


@pytest.mark.parametrize(
    ('writes_groups', 'fault'),
    [(False, 'a lower token|used twice'), (True, 'by a past holder')],
)
def test_the_search_finds_the_faults_of_version_numbers(writes_groups, fault):
    """Guards against a search that cannot fail."""
    with pytest.raises(AssertionError, match=fault):
        _search(ByVersion(), writes_groups=writes_groups)
