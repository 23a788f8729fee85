"""Follows the topics of the platform's store, and writes what entries share.

Used by ``hosted`` only.
"""
