"""Specifications of the core protocol, laid out by life span, and their check by z3."""
