"""Tests of the settings file."""

import pytest
from tamarackway_core.errors import SettingsError

from tamarackway_entry.settings import parse_settings

VALID = """
[instance]
name = "north-1"
region = "North"
failure_domain = "a"
callers = "127.0.0.1:8000"
peers = "127.0.0.1:8100"
admin = "127.0.0.1:8200"
outgoing_host = "127.0.0.1"

[platform]
table = "127.0.0.1:7001"
objects = "127.0.0.1:7002"
instances = "127.0.0.1:7003"

[peers]
keys = ["0123456789abcdef0123456789abcdef"]

[admin]
operators = []
"""


def test_valid_settings_have_defaults() -> None:
    settings = parse_settings(VALID)
    assert settings.instance.name == 'north-1'
    assert settings.callers.max_body_bytes == 1_048_576


@pytest.mark.parametrize(
    ('old', 'new', 'message'),
    [
        ('name = "north-1"', 'name = "a b"', 'letters, digits and hyphens'),
        ('name = "north-1"', 'nome = "x"', "no setting 'nome'"),
        ('[admin]', '[amdin]', 'there is no section [amdin]'),
        ('[admin]\noperators = []', '', 'section [admin] is missing'),
        ('region = "North"', 'region = 3', 'Expected `str`'),
        ('127.0.0.1:8000', 'localhost:8000', 'IP number'),
        ('127.0.0.1:8000', '127.0.0.1:0', 'port from 1'),
        ('127.0.0.1:8000', '127.0.0.1:8100', 'different addresses'),
        ('0123456789abcdef0123456789abcdef', 'short', '32 or more'),
        ('["0123456789abcdef0123456789abcdef"]', '[]', 'at least one key'),
        (
            'operators = []',
            'operators = [{name="x", token_sha256="y"}]',
            '64 hexadecimal digits',
        ),
        ('[admin]', '[callers]\nmax_waiting = 0\n[admin]', 'more than 0'),
        ('[admin]', '[routing]\nextra_share = 2.0\n[admin]', 'from 0 to 1'),
        ('[admin]', '[telemetry]\nlog_level = "x"\n[admin]', 'log_level'),
        ('[instance]', '[instance', 'not TOML'),
    ],
)
def test_faults_are_reported(old: str, new: str, message: str) -> None:
    assert old in VALID
    with pytest.raises(SettingsError) as caught:
        parse_settings(VALID.replace(old, new, 1))
    assert message in str(caught.value)
    assert 'docs/OPERATING.md' in caught.value.remedy


def test_all_faults_are_reported_together() -> None:
    text = VALID.replace('127.0.0.1:7001', 'x').replace('127.0.0.1:7002', 'y')
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert '[platform] table' in str(caught.value)
    assert '[platform] objects' in str(caught.value)
