"""Who is in the fleet: every daemon's own word, the platform's list, and failure detection."""
