"""The decisions on the simulator's wire: framing, codec, settings; one Balancer an instance."""
