"""Settings: one INI file in, frozen settings objects out."""
