"""The operators' API and its client."""
