"""Following what a platform publishes, from the store or, where that fails, from other daemons."""
