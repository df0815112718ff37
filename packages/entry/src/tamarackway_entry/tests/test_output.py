"""Tests that log output is bounded and never blocks the daemon."""

import json
import logging
import os
import time
from collections.abc import Generator

import pytest

from tamarackway_entry.telemetry import BoundedLogHandler, Metrics

LINE = 'x' * 400


@pytest.fixture
def pipe() -> Generator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def make_logger(output: BoundedLogHandler) -> logging.Logger:
    logger = logging.getLogger('test-output')
    logger.handlers[:] = [output]
    logger.propagate = False
    logger.setLevel(logging.INFO)
    return logger


def read_all(reader: int) -> bytes:
    found = b''
    while True:
        try:
            part = os.read(reader, 65536)
        except BlockingIOError:
            return found
        if not part:
            return found
        found += part


def test_a_stalled_reader_does_not_block_logging(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    output = BoundedLogHandler(writer)
    logger = make_logger(output)
    started_s = time.monotonic()
    for number in range(5000):
        logger.info('%d %s', number, LINE)
    assert time.monotonic() - started_s < 5
    assert output.dropped > 0
    written = b''
    for _ in range(100):
        written += read_all(reader)
        output.flush()
    lines = written.decode().splitlines()
    assert len(lines) == 5000 - output.dropped
    assert all(line.endswith(LINE) for line in lines)
    assert len(written) < 1_000_000


def test_warnings_use_reserved_buffer_space(
    pipe: tuple[int, int],
) -> None:
    reader, writer = pipe
    output = BoundedLogHandler(writer)
    logger = make_logger(output)
    for _ in range(2000):
        logger.info(LINE)
    dropped = output.dropped
    for number in range(50):
        logger.warning('failed %d', number)
    assert output.dropped == dropped
    written = b''
    for _ in range(100):
        written += read_all(reader)
        output.flush()
    assert written.count(b'failed') == 50


def test_output_to_a_closed_reader_is_discarded() -> None:
    reader, writer = os.pipe()
    output = BoundedLogHandler(writer)
    os.close(reader)
    make_logger(output).info(LINE)
    make_logger(output).info(LINE)
    os.close(writer)
    assert output.dropped == 0


def test_metrics_are_rendered_with_their_labels() -> None:
    metrics = Metrics()
    metrics.latency_s.labels('r', 's', 'target').observe(0.03)
    metrics.load.suppressed_lines.inc()
    text = metrics.render().decode()
    assert 'tamarackway_request_seconds_bucket{le="0.05"' in text
    assert 'tamarackway_log_lines_left_out_total 1.0' in text


def test_a_line_is_one_json_object(pipe: tuple[int, int]) -> None:
    reader, writer = pipe
    output = BoundedLogHandler(writer)
    output.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    make_logger(output).info('hello')
    assert json.loads(read_all(reader)) == {'message': 'hello'}
