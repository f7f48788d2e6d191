"""Operators' policy programs: named expressions over documented facts, checked and bounded."""
