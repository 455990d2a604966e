package kqreplay

import (
	"time"

	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
)

// Tides is a load of tasks that stay for a while, would hold every processor, and come beside quick jobs in
// waves with bursts on top.
func Tides() Load {
	l := Filling()
	l.Workers, l.Quick.PerSecond, l.Watch.PerSecond, l.WatchJobs = 8, 4, 0.28, 3
	l.Watch.Width, l.Watch.Worth = 5, 0.52
	l.Span, l.Wave, l.WaveTime, l.WatchTime = 120*time.Second, 0.55, 15*time.Second, 25*time.Second
	l.Bursts = []Burst{{Queue: QueueQuick, From: 64 * time.Second, For: 5 * time.Second, Factor: 1.5}, {Queue: QueueQuick, From: 100 * time.Second, For: 5 * time.Second, Factor: 2}}
	return l
}

// Flood is a load of tasks that stay and slowly come to hold every processor, beside quick jobs in waves.
func Flood() Load {
	l := Tides()
	l.Watch.PerSecond, l.WatchTime = 0.03, 0
	return l
}

// stays returns how long a watch job stays that comes now.
func (p *Replay) stays() time.Duration {
	left := p.config.Load.Span + settle - p.now.Sub(epoch)
	if t := p.config.Load.WatchTime; t > 0 {
		return min(left, t)
	}
	return left
}

// leave cancels the watch jobs whose time has passed.
func (p *Replay) leave() {
	t := p.config.Load.WatchTime
	if t == 0 {
		return
	}
	for len(p.watching) > 0 && p.now.Sub(p.watching[0].SubmittedAt) >= t {
		p.planner.Submit(p.now, kqflow.Submission{Job: p.watching[0], Cancelled: true}, nil, 0)
		p.watching = p.watching[1:]
	}
}
