"""Requests as they pass through the pipeline."""

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
    """What a request needs of an instance."""

    READ = 'read'
    WRITE = 'write'


@final
class Progress(enum.Enum):
    """How far a request has come; decides its verdict when it is cut off."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMMITTING = 'committing'
    COMMITTED = 'committed'

    @property
    def verdict(self) -> Verdict:
        """Verdict on a request that ends here without an answer."""
        if self in {Progress.QUEUED, Progress.RUNNING}:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN


@final
@dataclass(slots=True)
class Request:
    """One statement of a caller and what the filters decided about it.

    Attributes:
        group: Name of the group, ``team/service``.
        service: Settings of the service in force when it arrived.
        statement: The statement.
        params: Its parameters in text form.
        options: The caller's options.
        arrived_at: When it arrived, in seconds.
        weight: Share of its team against other teams.
        access: What it needs of an instance.
        deadline_at: When it is given up, in seconds.
        max_staleness_s: Greatest age of the data that it may read.
        is_strict: Whether it must be proved to have seen all that was
            acknowledged before it arrived.
        acknowledgement: Policy that its commit waits for.
        attempts: Most times that it is sent to an endpoint.
        fingerprint: Digest of what its request key stands for; empty when it
            carries none.
        progress: How far it has come.
        is_doubtful: Whether an earlier attempt of it may have run.
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
        """Verdict on the request if it ends now without an answer."""
        if self.is_in_doubt:
            return Verdict.MAY_HAVE_RUN
        return self.progress.verdict

    @property
    def team(self) -> str:
        """Name of the team that the group belongs to."""
        return self.group.partition('/')[0]
