"""Filter that applies a service's read rules and the caller's staleness."""

import re
from collections.abc import Iterable, Iterator
from functools import lru_cache
from typing import final

from catkincrank.filter import Filter, filters
from catkincrank.request import Access, Request
from catkincrank.settings import ReadRule

__all__ = ('ReadRuleFilter',)

_PRIMARY_ONLY = ReadRule(to_replicas=False)
_CACHED_CHOICES = 4096


@final
@filters.register('read-rule')
class ReadRuleFilter(Filter):
    """Bounds the age of what a read may see.

    The first rule that matches the statement decides. A caller's own
    ``max_staleness`` may only make that stricter.
    """

    def filter(self, requests: Iterable[Request]) -> Iterator[Request]:
        """Set ``max_staleness_s`` and ``is_strict``."""
        for request in requests:
            if request.access is Access.READ:
                _apply_rule(request)
            yield request


def _apply_rule(request: Request) -> None:
    rule = _find_rule(request.service.reads, request.statement.text)
    staleness_s = _decide_staleness(request, rule)
    request.max_staleness_s = staleness_s
    is_asked = request.options.max_staleness_s == 0
    request.is_strict = staleness_s == 0 and (rule.to_replicas or is_asked)


def _decide_staleness(request: Request, rule: ReadRule) -> float | None:
    if not rule.to_replicas:
        return 0
    if not request.options.has_staleness:
        return rule.max_staleness_s
    asked_s = request.options.max_staleness_s
    if asked_s is None or rule.max_staleness_s is None:
        return rule.max_staleness_s if asked_s is None else asked_s
    return min(asked_s, rule.max_staleness_s)


@lru_cache(maxsize=_CACHED_CHOICES)
def _find_rule(rules: tuple[ReadRule, ...], text: str) -> ReadRule:
    for rule in rules:
        if re.search(rule.pattern, text, re.IGNORECASE):
            return rule
    return _PRIMARY_ONLY
