package kqlearn

import (
	"maps"
	"slices"
	"time"
)

// Room is what a serving task has left.
type Headroom struct {
	// Image names what the task runs.
	Image string
	// Value is the task's target over its tail latency.
	Ratio float64
}

// Sample is one look at a worker on which serving and other tasks share.
type Sample struct {
	// At is when the sample was taken.
	At time.Time
	// Rooms is the room of each serving task.
	Headrooms map[string]Headroom
	// Shares is what each image of the other tasks uses of the worker's
	// processors, from 0 to 1.
	ProcessorShares map[string]float64
}

const (
	// pressPrior is the room that an image which was never seen is taken to cost
	// if it uses the whole worker.
	pressPrior = 5
	// pressPriorWeight is how many squared shares the prior counts for.
	pressPriorWeight = 0.003
	// pressForget is how much of the evidence each sample leaves.
	pressForget = 0.9995
	minSpan     = 150 * time.Millisecond
	maxSpan     = 1200 * time.Millisecond
	// minChange is the least change of an image's share that teaches anything.
	minChange = 0.005
	// maxImages bounds the images that are told apart.
	maxImages = 64
	// knownWeight is from how many squared shares of change on an image is known.
	knownWeight = 0.005
)

// Press estimates, for each image of serving tasks, how much of their room
// another image would take if it used the whole worker. It compares looks at the same worker that
// follow each other closely, in which the load of the serving tasks themselves
// has hardly changed. The zero value knows nothing.
type ImageInterference struct {
	last map[string]Sample
	fits map[string]*fit
}

// fit is a least squares fit for one image of serving tasks.
type fit struct {
	images []string
	// places is where each image stands in images.
	places map[string]int
	// square and product are the normal equations of a least squares fit.
	square  [][]float64
	product []float64
	solved  []float64
	stale   bool
}

// Observe takes over a look at a worker.
func (p *ImageInterference) Observe(worker string, s Sample) {
	if p.last == nil {
		p.last = map[string]Sample{}
	}
	old, ok := p.last[worker]
	span := s.At.Sub(old.At)
	if ok && span < minSpan {
		return
	}
	p.last[worker] = s
	if !ok || span > maxSpan {
		return
	}
	change := changes(old.ProcessorShares, s.ProcessorShares)
	if len(change) == 0 {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(s.Headrooms)) {
		room := s.Headrooms[task]
		if before, ok := old.Headrooms[task]; ok && room.Ratio > 0 && before.Ratio > 0 {
			p.fit(room.Image).add(change, before.Ratio-room.Ratio)
		}
	}
}

func (p *ImageInterference) fit(serving string) *fit {
	if p.fits == nil {
		p.fits = map[string]*fit{}
	}
	f := p.fits[serving]
	if f == nil {
		f = &fit{}
		p.fits[serving] = f
	}
	return f
}

// Of returns the room that an image takes of a serving task for a whole worker's
// processors, and whether that was measured.
func (p *ImageInterference) Estimate(serving, image string) (room float64, known bool) {
	f := p.fits[serving]
	if f == nil {
		return pressPrior, false
	}
	return f.of(image)
}

// Forget drops what is kept of a worker.
func (p *ImageInterference) ForgetWorker(worker string) { delete(p.last, worker) }

func changes(old, now map[string]float64) map[string]float64 {
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
		if v > -minChange && v < minChange {
			delete(out, i)
		}
	}
	return out
}

// index returns the place of an image, or -1 if there are too many.
func (f *fit) index(image string) int {
	if i, ok := f.places[image]; ok {
		return i
	}
	if len(f.images) >= maxImages {
		return -1
	}
	if f.places == nil {
		f.places = map[string]int{}
	}
	f.places[image] = len(f.images)
	f.images = append(f.images, image)
	for i := range f.square {
		f.square[i] = append(f.square[i], 0)
	}
	row := make([]float64, len(f.images))
	row[len(row)-1] = pressPriorWeight
	f.square = append(f.square, row)
	f.product = append(f.product, pressPriorWeight*pressPrior)
	return len(f.images) - 1
}

func (f *fit) add(change map[string]float64, taken float64) {
	at := make(map[int]float64, len(change))
	for _, image := range slices.Sorted(maps.Keys(change)) {
		if i := f.index(image); i >= 0 {
			at[i] = change[image]
		}
	}
	for i, c := range at {
		f.product[i] = f.product[i]*pressForget + c*taken
		for j, d := range at {
			f.square[i][j] = f.square[i][j]*pressForget + c*d
		}
	}
	f.stale = true
}

// of returns the room that an image takes, and whether there is evidence enough.
func (f *fit) of(image string) (float64, bool) {
	i, ok := f.places[image]
	if !ok {
		return pressPrior, false
	}
	if f.stale {
		f.solve()
	}
	return max(0, f.solved[i]), f.square[i][i] >= pressPriorWeight+knownWeight
}

// solve solves the normal equations by elimination.
func (f *fit) solve() {
	f.stale = false
	n := len(f.images)
	a := make([][]float64, n)
	for i := range a {
		a[i] = append(slices.Clone(f.square[i]), f.product[i])
	}
	for i := range n {
		for k := range n {
			if k == i || a[i][i] == 0 {
				continue
			}
			share := a[k][i] / a[i][i]
			for j := i; j <= n; j++ {
				a[k][j] -= share * a[i][j]
			}
		}
	}
	f.solved = make([]float64, n)
	for i := range n {
		if a[i][i] != 0 {
			f.solved[i] = a[i][n] / a[i][i]
		}
	}
}

// Fit is what was learned of one pair of images.
type PairEstimate struct {
	// Serving and Image name the pair.
	Serving string `json:"serving"`
	Image   string `json:"image"`
	// Room is the room taken for a whole worker's processors.
	Interference float64 `json:"room"`
}

// Fits returns every pair that is known, in order.
func (p *ImageInterference) KnownPairs() []PairEstimate {
	var out []PairEstimate
	for _, serving := range slices.Sorted(maps.Keys(p.fits)) {
		f := p.fits[serving]
		for _, image := range f.images {
			if room, known := f.of(image); known {
				out = append(out, PairEstimate{Serving: serving, Image: image, Interference: room})
			}
		}
	}
	return out
}

// Restore takes over pairs that another Press had learned.
func (p *ImageInterference) Restore(fits []PairEstimate) {
	for _, x := range fits {
		f := p.fit(x.Serving)
		if i := f.index(x.Image); i >= 0 {
			f.square[i][i] = pressPriorWeight + knownWeight
			f.product[i] = x.Interference * f.square[i][i]
			f.stale = true
		}
	}
}
