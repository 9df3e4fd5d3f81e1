"""The entry point of the ``masticgate`` command line."""

from ._command_group import main as main
