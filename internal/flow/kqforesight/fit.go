package kqforesight

import "math"

const (
	// shortestPeriod is the shortest period that is looked for, in intervals.
	shortestPeriod = 8
	// periodStep is the factor between periods that are tried.
	periodStep = 1.04
	// leastPeriods is how many periods must have been seen.
	leastPeriods = 1.5
	// mostChance is the probability of a fit as good by chance below which one is
	// taken, and keepChance that up to which it is kept.
	mostChance = 0.001
	keepChance = 0.05
	// trendIntervals is over how many intervals a trend is fitted, trendAhead how many
	// intervals it is expected to go on.
	trendIntervals = 30
	trendAhead     = 8
)

// model is what a series shows: a wave or a trend. Times are in intervals, counted
// from the first one of the series.
type model struct {
	// period is that of the wave; 0 means a trend.
	period float64
	// level is the mean of a wave, or the demand at the time end of a trend.
	level float64
	// cosine and sine are the amplitudes of the wave.
	cosine, sine float64
	// slope is the change of a trend with each interval.
	slope, end float64
	// chance is about the probability that noise alone is fitted as well.
	chance float64
}

// at returns the demand that is expected at a time.
func (m *model) at(t float64) float64 {
	if m.period == 0 {
		return max(0, m.level+m.slope*min(t-m.end, trendAhead))
	}
	s, c := math.Sincos(2 * math.Pi * t / m.period)
	return max(0, m.level+m.cosine*c+m.sine*s)
}

// fit returns what a series shows whose first value is of the time first, or nil.
// held is what it showed before.
func fit(series []float64, first float64, held *model) *model {
	for _, m := range []*model{fitWave(series, first), fitTrend(series, first)} {
		limit := mostChance
		if held != nil && m != nil && (held.period == 0) == (m.period == 0) {
			limit = keepChance
		}
		if m != nil && m.chance < limit {
			return m
		}
	}
	return nil
}

// fitWave returns the wave that explains most of a series, or nil.
func fitWave(series []float64, first float64) *model {
	var best *model
	least, whole := math.Inf(1), squares(series)
	for period := float64(shortestPeriod); period*leastPeriods <= float64(len(series)); period *= periodStep {
		if m, rest := waveOf(series, first, period); rest < least {
			best, least = m, rest
		}
	}
	if best == nil || whole == 0 {
		return nil
	}
	// As many frequencies are independent as there are pairs of values.
	best.chance = chance(least/whole, len(series)-3) * float64(len(series)) / 2
	return best
}

// waveOf fits a wave of a period by least squares and returns the squares that remain.
func waveOf(series []float64, first, period float64) (*model, float64) {
	turnSin, turnCos := math.Sincos(2 * math.Pi / period)
	s, c := math.Sincos(2 * math.Pi * first / period)
	var sumC, sumS, sumCC, sumCS, sumV, sumVC, sumVS, sumVV float64
	for _, v := range series {
		sumC += c
		sumS += s
		sumCC += c * c
		sumCS += c * s
		sumV += v
		sumVC += v * c
		sumVS += v * s
		sumVV += v * v
		s, c = s*turnCos+c*turnSin, c*turnCos-s*turnSin
	}
	n := float64(len(series))
	x := solve([3][4]float64{{n, sumC, sumS, sumV}, {sumC, sumCC, sumCS, sumVC}, {sumS, sumCS, n - sumCC, sumVS}})
	return &model{period: period, level: x[0], cosine: x[1], sine: x[2]}, sumVV - x[0]*sumV - x[1]*sumVC - x[2]*sumVS
}

// solve solves three linear equations whose matrix is positive definite.
func solve(a [3][4]float64) [3]float64 {
	for i := range a {
		for k := i + 1; k < len(a); k++ {
			f := a[k][i] / a[i][i]
			for n := i; n < len(a[k]); n++ {
				a[k][n] -= f * a[i][n]
			}
		}
	}
	var x [3]float64
	for i := len(a) - 1; i >= 0; i-- {
		x[i] = a[i][3]
		for k := i + 1; k < len(a); k++ {
			x[i] -= a[i][k] * x[k]
		}
		x[i] /= a[i][i]
	}
	return x
}

// fitTrend returns the trend of the end of a series, or nil.
func fitTrend(series []float64, first float64) *model {
	n := min(len(series), trendIntervals)
	if n < trendIntervals {
		return nil
	}
	tail := series[len(series)-n:]
	whole := squares(tail)
	if whole == 0 {
		return nil
	}
	middle, mean, both, width := float64(n-1)/2, 0.0, 0.0, 0.0
	for i, v := range tail {
		x := float64(i) - middle
		mean, both, width = mean+v/float64(n), both+x*v, width+x*x
	}
	slope := both / width
	return &model{level: mean + slope*middle, slope: slope, end: first + float64(len(series)-1), chance: chance(1-slope*both/whole, n-2)}
}

// squares returns the sum of the squared distances to the mean.
func squares(series []float64) float64 {
	mean, sum := 0.0, 0.0
	for _, v := range series {
		mean += v / float64(len(series))
	}
	for _, v := range series {
		sum += (v - mean) * (v - mean)
	}
	return sum
}

// chance returns the probability that a wave of one period leaves at most the share
// rest of the squares of noise; free is the degrees of freedom that remain. For a trend
// it is a bound from above.
func chance(rest float64, free int) float64 {
	return math.Pow(max(0, rest), float64(free)/2)
}
