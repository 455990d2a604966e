package kqflow

// ZeroValueFactor is the multiple of a job's objective, counted from the caller's first attempt,
// after which completing the job has no value.
const ZeroValueFactor = 3
