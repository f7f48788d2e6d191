"""How an agent speaks to what stands behind it: one adapter module for each dialect."""
