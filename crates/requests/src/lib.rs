//! HTTP requests at an agent.
