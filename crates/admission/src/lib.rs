//! Slots, classes, deadlines, shedding and the retry budget.
