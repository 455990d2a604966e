package kqforesight

// sizePart is the least part that a job has in the mean sizes.
const sizePart = 0.01

// sizes is how large jobs are. Few large ones make up much of the work and come at
// random: a wave is seen sooner if each job counts at most as the mean.
type sizes struct {
	jobs int
	// whole is the mean work of about the last 100 jobs, counted the mean of what was
	// counted of it, in processor-seconds.
	whole, counted float64
}

// add takes over a job and returns what is counted of its work.
func (s *sizes) add(work float64) float64 {
	s.jobs++
	part := max(sizePart, 1/float64(s.jobs))
	s.whole += part * (work - s.whole)
	counted := min(work, s.whole)
	s.counted += part * (counted - s.counted)
	return counted
}

// factor returns the mean work for each part of it that is counted.
func (s *sizes) factor() float64 {
	if s.counted == 0 {
		return 1
	}
	return s.whole / s.counted
}
