"""Translates between a gateway and the users' platform; it decides nothing.

Nothing outside this package knows the platform's names.
"""
