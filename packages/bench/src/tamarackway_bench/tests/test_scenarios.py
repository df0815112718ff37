"""Collects the scenarios of the feature files."""

from pytest_bdd import scenarios

scenarios('features')
