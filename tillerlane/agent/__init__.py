"""The agent: the one door to a target, and the only place that decides who runs on it."""
