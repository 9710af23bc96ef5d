"""Requests that are processed by the pipeline."""

import enum
import math
from dataclasses import dataclass
from typing import final

from catkincrank.acknowledgement import Acknowledgement
from catkincrank.sessionoptions import OptionValues
from catkincrank.settings import Service
from catkincrank.statement import Statement
from catkincrank.verdict import Verdict

__all__ = ('Access', 'Progress', 'Request')


@final
class Access(enum.Enum):
    """Whether a request reads or writes."""

    READ = 'read'
    WRITE = 'write'


@final
class Progress(enum.Enum):
    """Execution stage of a request; determines its verdict on cancellation."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMMITTING = 'committing'
    COMMITTED = 'committed'

    @property
    def verdict(self) -> Verdict:
        """Verdict on a request that ends at this stage without an answer."""
        if self in {Progress.QUEUED, Progress.RUNNING}:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@final
@dataclass(slots=True)
class Request:
    """One statement of a caller and the decisions of the filters on it.

    Attributes:
        group: Name of the group, ``team/service``.
        service: Settings of the service that were in force on arrival.
        statement: The statement.
        params: Its parameters in text form.
        options: The caller's options.
        arrived_at: Time of its arrival, in seconds.
        weight: Scheduling weight of its team.
        access: Whether it reads or writes.
        deadline_at: Time at which it is cancelled, in seconds.
        max_staleness_s: Maximum age of the data that it may read, in
            seconds.
        is_strict: Whether the read must be proved to reflect every write
            that was acknowledged before it arrived.
        acknowledgement: Policy for acknowledging its commit.
        attempts: Maximum number of times it is sent to an endpoint.
        fingerprint: Digest of its content; empty when it has no request
            key.
        progress: Its execution stage.
        is_in_doubt: Whether an earlier attempt may have run.
    """

    group: str
    service: Service
    statement: Statement
    params: tuple[str | None, ...]
    options: OptionValues
    arrived_at: float
    weight: int = 1
    access: Access = Access.WRITE
    deadline_at: float = math.inf
    max_staleness_s: float | None = None
    is_strict: bool = False
    acknowledgement: Acknowledgement | None = None
    attempts: int = 1
    fingerprint: str = ''
    progress: Progress = Progress.QUEUED
    is_in_doubt: bool = False

    @property
    def verdict(self) -> Verdict:
        """Verdict on the request if it ended now without an answer."""
        if self.is_in_doubt:
            return Verdict.MAY_HAVE_RUN
        return self.progress.verdict

    @property
    def team(self) -> str:
        """Name of the team that the group belongs to."""
        return self.group.partition('/')[0]
