"""Encoding of requests to targets and decoding of their responses."""

from dataclasses import dataclass
from typing import Protocol

from tamarackway_core.steering import LoadReport, TargetRecord

from tamarackway_entry.forwarding._model import ForwardRequest
from tamarackway_entry.upstream import Response


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of a response say about its target.

    :param not_run: whether the target rejected the request without running it.
    :param wrong_target: whether a different target now uses the address.
    :param signed: whether the response has the header that shows that a target
        produced it.
    :param load: load of the target, if reported.
    :param max_idle_s: idle timeout of the target's connections, if reported.
    :param total_per_s: requests per second that the target accepts from all
        instances together; infinity if it sets no limit, None if the response
        does not tell.
    :param is_leaving: whether the target accepts no new requests.
    :param pause_s: time in seconds for which the target wants no requests from
        this instance, None if it names none.
    """

    not_run: bool
    wrong_target: bool
    signed: bool
    load: LoadReport | None = None
    max_idle_s: float | None = None
    total_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


class TargetCodec(Protocol):
    """Encodes requests for targets and decodes their responses."""

    def encode_request(
        self,
        request: ForwardRequest,
        target: TargetRecord,
        timeout_s: float,
    ) -> bytes:
        """Return a request encoded as HTTP/1.1, without its body.

        :param request: the request.
        :param target: the only target that may run it.
        :param timeout_s: time until its deadline in seconds.
        """

    def matches_request(
        self, response: Response, request_id: str
    ) -> bool | None:
        """Return whether a response belongs to a request.

        :param response: response read from the connection.
        :param request_id: identifier of the request.
        :returns: None if the response does not identify its request.
        """

    def decode_metadata(self, response: Response) -> ResponseMetadata:
        """Return the metadata in the headers of a response."""
