"""The command line, ``masticgate``."""

from ._command_group import main as main
