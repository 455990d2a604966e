package kqflow

// LateFactor is how many objectives after its first attempt a job is worth nothing.
const ZeroValueFactor = 3
