"""Operators' policy programs: named expressions over documented facts, validated and bounded."""
