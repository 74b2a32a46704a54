//! Key claims across replicas.
