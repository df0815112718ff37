"""Data classes of losses."""

from dataclasses import dataclass

from tamarackway_core.numbers import Duration, Serial


@dataclass(frozen=True, slots=True)
class Loss:
    """Loss of a target while it ran a request.

    :param fingerprint: digest of the request.
    :param target: name of the lost target.
    :param incarnation: incarnation of the target.
    """

    fingerprint: str
    target: str
    incarnation: Serial


@dataclass(frozen=True, slots=True)
class KnownLoss:
    """Loss as one instance knows it.

    :param loss: the loss.
    :param age_s: time since the target was lost.
    :param refuted: whether a target has completed the request since, so that
        the request was not the cause.
    """

    loss: Loss
    age_s: Duration
    refuted: bool = False
