"""How requests and answers look between this instance and targets."""

from dataclasses import dataclass
from typing import Protocol

from tamarackway_core.steering import LoadReport, TargetRecord

from tamarackway_entry.forwarding._model import ForwardRequest
from tamarackway_entry.upstream import Response


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target says beside its answer.

    :param not_run: whether it refused the request and did not run it.
    :param wrong_target: whether another target has taken the address.
    :param signed: whether the answer bears the target's signature.
    :param load: load of the target, if it tells.
    :param max_idle_s: how long it keeps the connection open, if it tells.
    """

    not_run: bool
    wrong_target: bool
    signed: bool
    load: LoadReport | None = None
    max_idle_s: float | None = None


class TargetCodec(Protocol):
    """Writes requests for targets and reads what they answer."""

    def encode_request(
        self,
        request: ForwardRequest,
        target: TargetRecord,
        timeout_s: float,
    ) -> bytes:
        """Return the bytes of a request.

        :param request: the request.
        :param target: the target that alone may run it.
        :param timeout_s: time that is left for it.
        """

    def matches_request(self, answer: Response, request_id: str) -> bool | None:
        """Return whether an answer is the one to a request.

        :param answer: what came on the connection.
        :param request_id: identifier of the request.
        :returns: None if the answer does not tell.
        """

    def decode_metadata(self, answer: Response) -> ResponseMetadata:
        """Return what a target says beside its answer."""
