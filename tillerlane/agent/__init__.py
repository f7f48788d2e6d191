"""The agent: all requests to a target pass through it, and it alone schedules them."""
