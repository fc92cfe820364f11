"""Exceptions of the HTTP interface for callers."""

from datetime import timedelta

from oleanderhitch.exceptions import InvalidInputError
from oleanderhitch.request.states import Outcome, Reason


class CallRefusedError(InvalidInputError):
    """A call is refused with an error response, in most cases before it begins."""

    def __init__(
        self,
        reason: Reason,
        detail: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.outcome = outcome
        self.retry_after = retry_after
