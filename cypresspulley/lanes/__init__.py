"""Who gives way, in order, while the whole fleet is pressed. A lane only turns away."""
