"""The version number of this release."""

VERSION = "0.1.0"
