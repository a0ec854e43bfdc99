"""The lab: fleets in virtual time, experiments, exploration. It drives the product's own decisions and holds none."""
