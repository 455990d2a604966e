// Package kqforesight forecasts the demand of a class of jobs from the work that arrived. It
// fits a periodic wave or a trend, compares its predictions with the actual demand, and falls
// back to the recent mean unless they are better. It does no I/O: the current time is an
// argument.
package kqforesight

import "time"

const (
	// interval is the time that one value of the series covers.
	interval = 500 * time.Millisecond
	// maxIntervals is the maximum length of the series.
	maxIntervals = 120
	// refitIntervals is the number of intervals between two fits of the series.
	refitIntervals = 4
	// horizonIntervals is the number of intervals that a prediction covers. Its mean demand is
	// compared with the actual one.
	horizonIntervals = 10
	// minErrorWeight is the minimum weight of a comparison in the mean squared errors: they
	// cover about the last 20 s.
	minErrorWeight = 0.025
	// minComparisons is the number of comparisons before a forecast may be used.
	minComparisons = 10
	// A forecast is used once its squared error is below enableRatio of that of the mean, and
	// no longer used once the ratio reaches disableRatio.
	enableRatio  = 0.75
	disableRatio = 1.0
)

// Change is a change between using the forecast and using the mean.
type Change int

const (
	// Unchanged means that the same one is used as before.
	Unchanged Change = iota
	// Enabled means that the forecast is used from now on.
	Enabled
	// Disabled means that the mean is used from now on.
	Disabled
)

// prediction is the forecast of the mean demand over the horizon, and the recent mean demand
// when it was made, in processors.
type prediction struct {
	// valid is false if no forecast could be made.
	valid          bool
	forecast, mean float64
}

// Forecaster records the demand of one class of jobs and forecasts it. Its zero value forecasts
// the mean. It is not safe for concurrent use.
type Forecaster struct {
	mean    DecayingMean
	workCap workCap
	// cappedMean is the mean of the capped work, as the series counts it.
	cappedMean DecayingMean
	start      time.Time
	// series is the demand of the latest closed intervals, in processors, from capped work.
	series []float64
	// closedIntervals counts the closed intervals since start.
	closedIntervals int
	// openWork is the capped work of the current interval, in processor-seconds.
	openWork float64

	// fitted is the model that fits the series; nil if none does.
	fitted *model
	// predictions holds the predictions that have not been compared yet, by the interval in
	// which they were made, modulo the length.
	predictions [horizonIntervals]prediction
	// comparisons counts the compared predictions of the current kind of model.
	comparisons  int
	usesForecast bool
	// forecastError and meanError are the mean squared errors of the forecast and of the mean.
	forecastError, meanError float64
}

// AddJob adds a job that arrives now, with its work in processor-seconds.
func (f *Forecaster) AddJob(now time.Time, work float64) Change {
	if f.start.IsZero() {
		f.start = now
	}
	change := f.Advance(now)
	f.mean.AddWork(now, work)
	capped := f.workCap.addJob(work)
	f.cappedMean.AddWork(now, capped)
	f.openWork += capped
	return change
}

// Advance closes the intervals that have ended and decides whether the forecast is used. After
// more than maxIntervals without a call it starts a new series.
func (f *Forecaster) Advance(now time.Time) Change {
	if f.start.IsZero() {
		return Unchanged
	}
	before, elapsed := f.usesForecast, int(now.Sub(f.start)/interval)
	if elapsed-f.closedIntervals > maxIntervals {
		*f = Forecaster{mean: f.mean, cappedMean: f.cappedMean, workCap: f.workCap, start: now}
		elapsed = 0
	}
	for f.closedIntervals < elapsed {
		f.closeInterval()
	}
	switch {
	case before == f.usesForecast:
		return Unchanged
	case f.usesForecast:
		return Enabled
	}
	return Disabled
}

// closeInterval closes the current interval and compares the prediction that ends with it.
func (f *Forecaster) closeInterval() {
	f.series = append(f.series, f.openWork/interval.Seconds())
	if len(f.series) > maxIntervals {
		f.series = append(f.series[:0], f.series[1:]...)
	}
	f.openWork = 0
	f.closedIntervals++
	if f.closedIntervals%refitIntervals == 0 {
		f.refit()
	}
	slot := &f.predictions[f.closedIntervals%horizonIntervals]
	if slot.valid {
		f.compare(*slot)
	}
	*slot = f.predict()
}

// refit fits the series. Comparisons start again if the kind of model changes.
func (f *Forecaster) refit() {
	previous := f.fitted
	f.fitted = fit(f.series, float64(f.closedIntervals-len(f.series)), previous)
	if f.fitted == nil || previous == nil || (f.fitted.period == 0) != (previous.period == 0) {
		f.predictions, f.comparisons, f.usesForecast = [horizonIntervals]prediction{}, 0, false
		f.forecastError, f.meanError = 0, 0
	}
}

// predict returns a prediction for the horizon that begins now.
func (f *Forecaster) predict() prediction {
	if f.fitted == nil {
		return prediction{}
	}
	p := prediction{valid: true, mean: f.cappedMean.Processors(f.start.Add(time.Duration(f.closedIntervals) * interval))}
	for n := range horizonIntervals {
		p.forecast += f.fitted.at(float64(f.closedIntervals+n)) / horizonIntervals
	}
	return p
}

// compare compares a prediction with the actual demand over its horizon, which has just ended.
func (f *Forecaster) compare(p prediction) {
	actual := 0.0
	for _, v := range f.series[len(f.series)-horizonIntervals:] {
		actual += v / horizonIntervals
	}
	f.comparisons++
	weight := max(minErrorWeight, 1/float64(f.comparisons))
	f.forecastError += weight * ((p.forecast-actual)*(p.forecast-actual) - f.forecastError)
	f.meanError += weight * ((p.mean-actual)*(p.mean-actual) - f.meanError)
	switch {
	case f.usesForecast:
		f.usesForecast = f.forecastError < disableRatio*f.meanError
	case f.comparisons >= minComparisons:
		f.usesForecast = f.forecastError < enableRatio*f.meanError
	}
}

// UsesForecast reports whether the forecast is used instead of the mean.
func (f *Forecaster) UsesForecast() bool { return f.usesForecast }

// Period returns the period of the fitted wave, or 0 if the model is not a wave.
func (f *Forecaster) Period() time.Duration {
	if f.fitted == nil {
		return 0
	}
	return time.Duration(f.fitted.period * float64(interval))
}

// ErrorRatio returns the squared error of the forecast divided by that of the mean; 1 if no
// prediction has been compared.
func (f *Forecaster) ErrorRatio() float64 {
	if f.meanError == 0 {
		return 1
	}
	return f.forecastError / f.meanError
}

// Mean returns the mean demand over about the last 10 s, in processors.
func (f *Forecaster) Mean(now time.Time) float64 { return f.mean.Processors(now) }

// ExpectedPeak returns the highest demand expected between now and within from now, in
// processors: by the forecast while it is used, and the mean otherwise.
func (f *Forecaster) ExpectedPeak(now time.Time, within time.Duration) float64 {
	if !f.usesForecast {
		return f.Mean(now)
	}
	from := float64(now.Sub(f.start)) / float64(interval)
	peak := 0.0
	for n := 0; time.Duration(n)*interval <= within; n++ {
		peak = max(peak, f.fitted.at(from+float64(n)))
	}
	return peak * f.workCap.uncapFactor()
}
