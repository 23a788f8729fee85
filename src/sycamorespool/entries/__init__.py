"""Defines the protocol between entries."""
