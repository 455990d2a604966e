// Package kqforesight forecasts the demand of a class of jobs from what came: its
// trend, and its period if the series shows one. It compares its forecasts with what
// came and with the plain mean. It does no I/O: the present time is an argument.
package kqforesight

import "time"

const (
	// interval is the time of which the demand is one value of the series.
	interval = 500 * time.Millisecond
	// mostIntervals is how long the series is.
	mostIntervals = 120
	// fitEvery is how often it is looked what the series shows, in intervals.
	fitEvery = 4
	// spanIntervals is of how many intervals the mean demand is forecast to be compared
	// with what came.
	spanIntervals = 10
	// errorPart is the part that a comparison has in the mean of the errors: the last
	// 20 s count.
	errorPart = 0.025
	// leastScored is how many comparisons a forecast needs before it is used.
	leastScored = 10
	// takeUp is the share of the mean's squared error below which the forecast is
	// used, withdraw that from which it is not used any more.
	takeUp   = 0.75
	withdraw = 1.0
)

// Change is what has become of the use of the forecast.
type Change int

// Changes of the use of a forecast.
const (
	// Unchanged means that it is used, or not, as before.
	Unchanged Change = iota
	// TakenUp means that the forecast is used from now on, Withdrawn that the mean is.
	TakenUp
	Withdrawn
)

// guess is a forecast of the mean demand of a span, and the mean when it was made.
type guess struct {
	made           bool
	forecast, mean float64
}

// Demand is what came of one class of jobs and what is expected to come. Its zero
// value expects the mean. It is not safe for concurrent use.
type Demand struct {
	mean  DecayingMean
	sizes sizes
	// even is the mean of the work that the series counts.
	even  DecayingMean
	start time.Time
	// series is the demand of the latest intervals that have ended, in processors, as
	// far as it is counted;
	// closed is how many have ended, and open is the work of the present one.
	series []float64
	closed int
	open   float64

	shown *model
	// guesses are those that have not been compared, by the interval in which they were
	// made.
	guesses [spanIntervals]guess
	scored  int
	used    bool
	// forecastError and meanError are the squared errors of both.
	forecastError, meanError float64
}

// Add takes over the work of a job that comes now, in processor-seconds.
func (d *Demand) Add(now time.Time, work float64) Change {
	if d.start.IsZero() {
		d.start = now
	}
	c := d.Advance(now)
	d.mean.AddWork(now, work)
	counted := d.sizes.add(work)
	d.even.AddWork(now, counted)
	d.open += counted
	return c
}

// Advance ends the intervals that are over, and decides whether the forecast is used.
func (d *Demand) Advance(now time.Time) Change {
	if d.start.IsZero() {
		return Unchanged
	}
	was, over := d.used, int(now.Sub(d.start)/interval)
	if over-d.closed > mostIntervals {
		*d = Demand{mean: d.mean, even: d.even, sizes: d.sizes, start: now}
		over = 0
	}
	for d.closed < over {
		d.close()
	}
	switch {
	case was == d.used:
		return Unchanged
	case d.used:
		return TakenUp
	}
	return Withdrawn
}

// close ends the present interval.
func (d *Demand) close() {
	d.series = append(d.series, d.open/interval.Seconds())
	if len(d.series) > mostIntervals {
		d.series = append(d.series[:0], d.series[1:]...)
	}
	d.open = 0
	d.closed++
	if d.closed%fitEvery == 0 {
		d.look()
	}
	g := &d.guesses[d.closed%spanIntervals]
	if g.made {
		d.score(*g)
	}
	*g = d.guess()
}

// look finds what the series shows. A forecast of another kind begins anew.
func (d *Demand) look() {
	held := d.shown
	d.shown = fit(d.series, float64(d.closed-len(d.series)), held)
	if d.shown == nil || held == nil || (d.shown.period == 0) != (held.period == 0) {
		d.guesses, d.scored, d.used = [spanIntervals]guess{}, 0, false
		d.forecastError, d.meanError = 0, 0
	}
}

// guess forecasts the span that begins now.
func (d *Demand) guess() guess {
	if d.shown == nil {
		return guess{}
	}
	g := guess{made: true, mean: d.even.Processors(d.start.Add(time.Duration(d.closed) * interval))}
	for n := range spanIntervals {
		g.forecast += d.shown.at(float64(d.closed+n)) / spanIntervals
	}
	return g
}

// score compares a guess with what came in the span that has ended.
func (d *Demand) score(g guess) {
	came := 0.0
	for _, v := range d.series[len(d.series)-spanIntervals:] {
		came += v / spanIntervals
	}
	d.scored++
	part := max(errorPart, 1/float64(d.scored))
	d.forecastError += part * ((g.forecast-came)*(g.forecast-came) - d.forecastError)
	d.meanError += part * ((g.mean-came)*(g.mean-came) - d.meanError)
	switch {
	case d.used:
		d.used = d.forecastError < withdraw*d.meanError
	case d.scored >= leastScored:
		d.used = d.forecastError < takeUp*d.meanError
	}
}

// Used reports whether the forecast is used.
func (d *Demand) Used() bool { return d.used }

// Period returns the period that the series shows, or 0.
func (d *Demand) Period() time.Duration {
	if d.shown == nil {
		return 0
	}
	return time.Duration(d.shown.period * float64(interval))
}

// ErrorRatio returns the squared error of the forecast over that of the mean; 1 if
// nothing has been compared.
func (d *Demand) ErrorRatio() float64 {
	if d.meanError == 0 {
		return 1
	}
	return d.forecastError / d.meanError
}

// Mean returns the mean demand of about the last 10 s, in processors.
func (d *Demand) Mean(now time.Time) float64 { return d.mean.Processors(now) }

// Expected returns the highest demand that is expected at any time from now on until
// within has passed, in processors: the forecast while it is used, or else the mean.
func (d *Demand) Expected(now time.Time, within time.Duration) float64 {
	if !d.used {
		return d.Mean(now)
	}
	from := float64(now.Sub(d.start)) / float64(interval)
	highest := 0.0
	for n := 0; time.Duration(n)*interval <= within; n++ {
		highest = max(highest, d.shown.at(from+float64(n)))
	}
	return highest * d.sizes.factor()
}
