"""Runs the command line interface, as ``python -m masticgate``."""

from .process.commands import main

main()
