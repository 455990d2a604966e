package kqforesight

// minJobWeight is the minimum weight of a job in the mean work.
const minJobWeight = 0.01

// workCap caps the work of each job at the mean. A few large jobs make up much of the work and
// arrive at random, so a wave is detected sooner in the capped work.
type workCap struct {
	jobs int
	// meanWork is the mean work of about the last 100 jobs, meanCapped the mean of their capped
	// work, in processor-seconds.
	meanWork, meanCapped float64
}

// addJob adds a job and returns its capped work.
func (c *workCap) addJob(work float64) float64 {
	c.jobs++
	weight := max(minJobWeight, 1/float64(c.jobs))
	c.meanWork += weight * (work - c.meanWork)
	capped := min(work, c.meanWork)
	c.meanCapped += weight * (capped - c.meanCapped)
	return capped
}

// uncapFactor returns the factor that converts capped work to work: the ratio of the means.
func (c *workCap) uncapFactor() float64 {
	if c.meanCapped == 0 {
		return 1
	}
	return c.meanWork / c.meanCapped
}
