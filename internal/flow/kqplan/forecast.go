package kqplan

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqforesight"
)

const (
	// forecastAhead is the time whose highest forecast counts for a task that stays.
	forecastAhead = 5 * time.Second
	// forecastMargin is how much room is kept against the highest forecast: bursts are
	// in no forecast.
	forecastMargin = 1.25
)

// expected returns the processors that are kept for the jobs of a queue that come.
func (p *Planner) expected(now time.Time, queue string, l *queueLoad) float64 {
	p.noteForecast(now, queue, l, l.demand.Advance(now))
	if p.config.Forecasts && l.demand.Used() {
		return forecastMargin * l.demand.Expected(now, forecastAhead)
	}
	return demandMargin * l.demand.Mean(now)
}

// noteForecast logs that the forecast of a queue's demand is used from now on, or that the mean is.
func (p *Planner) noteForecast(now time.Time, queue string, l *queueLoad, c kqforesight.Change) {
	fields := []kqevent.Field{kqevent.Queue(queue), kqevent.Value("error_ratio", l.demand.ErrorRatio()), kqevent.Millis("period_ms", l.demand.Period())}
	switch {
	case !p.config.Forecasts:
	case c == kqforesight.TakenUp:
		p.config.Events.EmitFields(now, kqevent.ForecastUsed, kqevent.Class(queue), fields, "squared error %.2f of the mean's, period %s", l.demand.ErrorRatio(), l.demand.Period())
	case c == kqforesight.Withdrawn:
		p.config.Events.EmitFields(now, kqevent.ForecastWithdrawn, kqevent.Class(queue), fields, "squared error %.2f of the mean's", l.demand.ErrorRatio())
	}
}
