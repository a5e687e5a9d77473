"""Check the core protocols with small models that are explored exhaustively."""
