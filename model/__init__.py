"""Specifications of the core protocol, in folders by life span, and their check with z3."""
