"""Programs that show the product at work."""
