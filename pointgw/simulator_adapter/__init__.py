"""The bench's wire before the decisions: a codec and a host of instances."""
