"""Binds the scenarios to their steps."""

from pytest_bdd import scenarios

scenarios('features')
