"""The release."""

VERSION = "0.1.0"
