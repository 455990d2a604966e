package kqforesight

import "math"

const (
	// minPeriod is the shortest period that is fitted, in intervals.
	minPeriod = 8
	// periodFactor is the ratio between successive periods that are fitted.
	periodFactor = 1.04
	// minCycles is the number of periods that the series must cover.
	minCycles = 1.5
	// A fit is accepted if the probability that noise is fitted as well is below acceptPValue.
	// An accepted kind of model is kept while the probability is below keepPValue.
	acceptPValue = 0.001
	keepPValue   = 0.05
	// trendIntervals is the number of intervals over which a trend is fitted, trendHorizon the
	// number for which it is extrapolated.
	trendIntervals = 30
	trendHorizon   = 8
)

// model is a wave or a trend that fits a series. Times are in intervals since the Forecaster's
// start, demand is in processors.
type model struct {
	// period is the period of the wave; 0 means a trend.
	period float64
	// level is the mean of a wave, or the demand at the time end of a trend.
	level float64
	// cosine and sine are the amplitudes of the wave.
	cosine, sine float64
	// slope is the change of a trend per interval, end is the time of the last fitted value.
	slope, end float64
	// pValue is the approximate probability that noise alone is fitted as well.
	pValue float64
}

// at returns the expected demand at time t.
func (m *model) at(t float64) float64 {
	if m.period == 0 {
		return max(0, m.level+m.slope*min(t-m.end, trendHorizon))
	}
	s, c := math.Sincos(2 * math.Pi * t / m.period)
	return max(0, m.level+m.cosine*c+m.sine*s)
}

// fit returns the model that fits a series whose first value is of time first, or nil if none
// does. previous is the model of the previous fit, or nil.
func fit(series []float64, first float64, previous *model) *model {
	for _, m := range []*model{fitWave(series, first), fitTrend(series, first)} {
		limit := acceptPValue
		if previous != nil && m != nil && (previous.period == 0) == (m.period == 0) {
			limit = keepPValue
		}
		if m != nil && m.pValue < limit {
			return m
		}
	}
	return nil
}

// fitWave returns the wave with the smallest residual, or nil if the series is too short or
// constant.
func fitWave(series []float64, first float64) *model {
	var best *model
	minResidual, total := math.Inf(1), squaredDeviations(series)
	for period := float64(minPeriod); period*minCycles <= float64(len(series)); period *= periodFactor {
		if m, residual := fitPeriod(series, first, period); residual < minResidual {
			best, minResidual = m, residual
		}
	}
	if best == nil || total == 0 {
		return nil
	}
	// The number of independent frequencies is half the number of values; the p-value is
	// multiplied by it, since the best of them was selected.
	best.pValue = pValue(minResidual/total, len(series)-3) * float64(len(series)) / 2
	return best
}

// fitPeriod fits a wave of the given period by least squares and returns it with the residual
// sum of squares.
func fitPeriod(series []float64, first, period float64) (*model, float64) {
	stepSin, stepCos := math.Sincos(2 * math.Pi / period)
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
		s, c = s*stepCos+c*stepSin, c*stepCos-s*stepSin
	}
	n := float64(len(series))
	coef := solve([3][4]float64{{n, sumC, sumS, sumV}, {sumC, sumCC, sumCS, sumVC}, {sumS, sumCS, n - sumCC, sumVS}})
	return &model{period: period, level: coef[0], cosine: coef[1], sine: coef[2]}, sumVV - coef[0]*sumV - coef[1]*sumVC - coef[2]*sumVS
}

// solve solves three linear equations by elimination without pivoting. The matrix must be
// positive definite.
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

// fitTrend returns the trend of the last trendIntervals values of a series, or nil if the series
// is too short or they are constant.
func fitTrend(series []float64, first float64) *model {
	n := min(len(series), trendIntervals)
	if n < trendIntervals {
		return nil
	}
	tail := series[len(series)-n:]
	total := squaredDeviations(tail)
	if total == 0 {
		return nil
	}
	center, mean, sumXY, sumXX := float64(n-1)/2, 0.0, 0.0, 0.0
	for i, v := range tail {
		x := float64(i) - center
		mean, sumXY, sumXX = mean+v/float64(n), sumXY+x*v, sumXX+x*x
	}
	slope := sumXY / sumXX
	return &model{level: mean + slope*center, slope: slope, end: first + float64(len(series)-1), pValue: pValue(1-slope*sumXY/total, n-2)}
}

// squaredDeviations returns the sum of the squared deviations from the mean.
func squaredDeviations(series []float64) float64 {
	mean, sum := 0.0, 0.0
	for _, v := range series {
		mean += v / float64(len(series))
	}
	for _, v := range series {
		sum += (v - mean) * (v - mean)
	}
	return sum
}

// pValue returns the probability that fitting a wave of one period to noise leaves at most
// residualRatio of the squared deviations, with the given residual degrees of freedom. For a
// trend it is an upper bound.
func pValue(residualRatio float64, degrees int) float64 {
	return math.Pow(max(0, residualRatio), float64(degrees)/2)
}
