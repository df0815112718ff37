"""Builds the components of the daemon and registers them with the kernel."""

from tamarackway_entry.assembly._build import build_kernel as build_kernel
