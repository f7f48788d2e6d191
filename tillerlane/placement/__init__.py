"""Which runner has which model: planned by the leading keeper, carried out by fenced orders."""
