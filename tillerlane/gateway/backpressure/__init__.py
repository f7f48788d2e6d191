"""What targets ask entries to spare them: limits, back-off, and time to warm up.

``docs/design/advice.md`` lists what targets say of themselves, and where it is read.
"""
