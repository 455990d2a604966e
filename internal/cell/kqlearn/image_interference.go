package kqlearn

import (
	"maps"
	"slices"
	"time"
)

// Headroom is the latency headroom of a serving task.
type Headroom struct {
	// Image names the image that the task runs.
	Image string
	// Ratio is the latency target over the tail latency.
	Ratio float64
}

// Sample is a measurement of a worker on which serving tasks are colocated with other tasks.
type Sample struct {
	// At is the time of the measurement.
	At time.Time
	// Headrooms holds the headroom of each serving task, by task name.
	Headrooms map[string]Headroom
	// ProcessorShares holds the share of the worker's processors that each image of the
	// other tasks uses, from 0 to 1.
	ProcessorShares map[string]float64
}

const (
	// priorInterference is the assumed interference of an image without measurements: the
	// headroom lost if it used all processors of the worker.
	priorInterference = 5
	// priorPairWeight is the weight of the prior, in squared changes of the processor share.
	priorPairWeight = 0.003
	// evidenceRetained is the share of the earlier evidence that remains after a sample.
	evidenceRetained = 0.9995
	// minSampleGap and maxSampleGap limit the time between two samples that are compared.
	minSampleGap = 150 * time.Millisecond
	maxSampleGap = 1200 * time.Millisecond
	// minShareChange is the smallest change of an image's processor share that is used.
	minShareChange = 0.005
	// maxImages limits the images that are estimated for one serving image.
	maxImages = 64
	// minKnownEvidence is the evidence, in squared changes of the processor share, from
	// which an estimate counts as known.
	minKnownEvidence = 0.005
)

// ImageInterference estimates the interference of images on images of serving tasks: the
// headroom that a serving task loses if the other image uses all processors of its worker. It
// compares consecutive samples of a worker that are at most maxSampleGap apart, so that the
// load of the serving tasks themselves has hardly changed between them. The zero value is
// ready to use and has no measurements.
type ImageInterference struct {
	lastSamples map[string]Sample
	fits        map[string]*leastSquares
}

// leastSquares fits the loss of headroom of one serving image to the changes of the processor
// shares of other images.
type leastSquares struct {
	images []string
	// indexes holds the position of each image in images.
	indexes map[string]int
	// matrix and vector are the two sides of the normal equations; solution solves them
	// unless stale.
	matrix   [][]float64
	vector   []float64
	solution []float64
	stale    bool
}

// Observe updates the estimates from a sample of a worker. It ignores a sample that follows the
// last one by less than minSampleGap.
func (m *ImageInterference) Observe(worker string, s Sample) {
	if m.lastSamples == nil {
		m.lastSamples = map[string]Sample{}
	}
	old, ok := m.lastSamples[worker]
	gap := s.At.Sub(old.At)
	if ok && gap < minSampleGap {
		return
	}
	m.lastSamples[worker] = s
	if !ok || gap > maxSampleGap {
		return
	}
	changes := shareChanges(old.ProcessorShares, s.ProcessorShares)
	if len(changes) == 0 {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(s.Headrooms)) {
		headroom := s.Headrooms[task]
		if before, ok := old.Headrooms[task]; ok && headroom.Ratio > 0 && before.Ratio > 0 {
			m.fitOf(headroom.Image).addChange(changes, before.Ratio-headroom.Ratio)
		}
	}
}

func (m *ImageInterference) fitOf(serving string) *leastSquares {
	if m.fits == nil {
		m.fits = map[string]*leastSquares{}
	}
	f := m.fits[serving]
	if f == nil {
		f = &leastSquares{}
		m.fits[serving] = f
	}
	return f
}

// Estimate returns the interference of an image on a serving image, and whether it is known
// from measurements rather than assumed.
func (m *ImageInterference) Estimate(serving, image string) (interference float64, known bool) {
	f := m.fits[serving]
	if f == nil {
		return priorInterference, false
	}
	return f.estimate(image)
}

// ForgetWorker removes the last sample of a worker.
func (m *ImageInterference) ForgetWorker(worker string) { delete(m.lastSamples, worker) }

// shareChanges returns the changes of the processor shares by image, without those below
// minShareChange.
func shareChanges(old, now map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for i, v := range now {
		out[i] = v - old[i]
	}
	for i, v := range old {
		if _, ok := now[i]; !ok {
			out[i] = -v
		}
	}
	for i, v := range out {
		if v > -minShareChange && v < minShareChange {
			delete(out, i)
		}
	}
	return out
}

// indexOf returns the position of an image, which it adds if needed, or -1 if there are
// maxImages already.
func (f *leastSquares) indexOf(image string) int {
	if i, ok := f.indexes[image]; ok {
		return i
	}
	if len(f.images) >= maxImages {
		return -1
	}
	if f.indexes == nil {
		f.indexes = map[string]int{}
	}
	f.indexes[image] = len(f.images)
	f.images = append(f.images, image)
	for i := range f.matrix {
		f.matrix[i] = append(f.matrix[i], 0)
	}
	row := make([]float64, len(f.images))
	row[len(row)-1] = priorPairWeight
	f.matrix = append(f.matrix, row)
	f.vector = append(f.vector, priorPairWeight*priorInterference)
	return len(f.images) - 1
}

func (f *leastSquares) addChange(changes map[string]float64, headroomLost float64) {
	changeAt := make(map[int]float64, len(changes))
	for _, image := range slices.Sorted(maps.Keys(changes)) {
		if i := f.indexOf(image); i >= 0 {
			changeAt[i] = changes[image]
		}
	}
	for i, c := range changeAt {
		f.vector[i] = f.vector[i]*evidenceRetained + c*headroomLost
		for j, d := range changeAt {
			f.matrix[i][j] = f.matrix[i][j]*evidenceRetained + c*d
		}
	}
	f.stale = true
}

// estimate returns the interference of an image, and whether it is known.
func (f *leastSquares) estimate(image string) (float64, bool) {
	i, ok := f.indexes[image]
	if !ok {
		return priorInterference, false
	}
	if f.stale {
		f.solve()
	}
	return max(0, f.solution[i]), f.matrix[i][i] >= priorPairWeight+minKnownEvidence
}

// solve solves the normal equations by Gauss-Jordan elimination.
func (f *leastSquares) solve() {
	f.stale = false
	n := len(f.images)
	a := make([][]float64, n)
	for i := range a {
		a[i] = append(slices.Clone(f.matrix[i]), f.vector[i])
	}
	for i := range n {
		for k := range n {
			if k == i || a[i][i] == 0 {
				continue
			}
			factor := a[k][i] / a[i][i]
			for j := i; j <= n; j++ {
				a[k][j] -= factor * a[i][j]
			}
		}
	}
	f.solution = make([]float64, n)
	for i := range n {
		if a[i][i] != 0 {
			f.solution[i] = a[i][n] / a[i][i]
		}
	}
}

// PairEstimate is the known interference of one image on one serving image, as stored.
type PairEstimate struct {
	// Serving names the image of the serving tasks, Image the one that interferes.
	Serving string `json:"serving"`
	Image   string `json:"image"`
	// Interference is the headroom lost if Image uses all processors of a worker.
	Interference float64 `json:"room"`
}

// KnownPairs returns every known pair, sorted by serving image.
func (m *ImageInterference) KnownPairs() []PairEstimate {
	var out []PairEstimate
	for _, serving := range slices.Sorted(maps.Keys(m.fits)) {
		f := m.fits[serving]
		for _, image := range f.images {
			if interference, known := f.estimate(image); known {
				out = append(out, PairEstimate{Serving: serving, Image: image, Interference: interference})
			}
		}
	}
	return out
}

// maxInterference limits a restored estimate. The headroom of a serving task is far below it.
const maxInterference = 1e6

// isValid reports whether an estimate is in range.
func (p PairEstimate) isValid() bool { return p.Interference >= 0 && p.Interference <= maxInterference }

// Restore loads pairs that KnownPairs returned earlier. Each gets the smallest evidence that
// counts as known. A pair whose estimate is out of range is left out.
func (m *ImageInterference) Restore(pairs []PairEstimate) {
	for _, pair := range pairs {
		if !pair.isValid() {
			continue
		}
		f := m.fitOf(pair.Serving)
		if i := f.indexOf(pair.Image); i >= 0 {
			f.matrix[i][i] = priorPairWeight + minKnownEvidence
			f.vector[i] = pair.Interference * f.matrix[i][i]
			f.stale = true
		}
	}
}
