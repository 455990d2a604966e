package main

import (
	"fmt"
	"time"
)

func init() {
	cases["size"] = playSize
	cases["queue"] = playQueue
	cases["crash"] = playCrash
	cases["pending"] = playPending
	cases["drain"] = playDrain
}

// playSize loses the largest worker; a job whose task takes one of the others whole is never started.
func playSize(d *deployment, trouble bool) string {
	large := d.sides[4].worker
	large.cpu, large.memMB = 96_000, 384_000
	d.apply(1, newRoute("unlock", 0, 4), newRoute("settle", 2, 2))
	d.begin()
	if trouble {
		large.crash()
	}
	time.Sleep(8 * time.Second)
	const id = "5e77100000000001"
	d.submit("settle", id, time.Second, job{Spec: "settle the takings", Steps: []step{{Count: 1, CPU: 64_000, MemMB: 1000, EstimateMS: 1000}}})
	time.Sleep(25 * time.Second)
	state := d.state("settle", id)
	if len(d.startsOf(id)) == 0 {
		return fmt.Sprintf("LOST: 25 s after it was accepted the job is %q and has never been started, with 10 idle workers on which it fits", state)
	}
	return ""
}

// playQueue removes the queue of an accepted job that waits for its time, and kills the leader.
func playQueue(d *deployment, trouble bool) string {
	day := newRoute("unlock", 0, 4)
	d.apply(1, day, newRoute("nightly", 2, 2))
	d.begin()
	const id = "5e77100000000002"
	due := time.Now().Add(16 * time.Second)
	d.submit("nightly", id, time.Second, job{Spec: "settle the takings", RepeatCount: 1, StartAtMS: due.UnixMilli(), IntervalMS: 1000,
		Steps: []step{{Count: 4, CPU: 7000, MemMB: 1000, EstimateMS: 1000}}})
	time.Sleep(2 * time.Second)
	d.apply(2, day)
	time.Sleep(4 * time.Second)
	if trouble {
		m := d.leader()
		d.kill(m)
		time.Sleep(restartDelay)
		d.start(m)
	}
	time.Sleep(time.Until(due) + 25*time.Second)
	if n := len(d.startsOf(id)); n < 4 {
		return fmt.Sprintf("LOST: 25 s after its time %d of the 4 tasks of the accepted job have been started, with 11 idle workers", n)
	}
	return ""
}

// playCrash lets the worker crash on which alone a lasting task can run, five times; the job must be
// started again each time.
func playCrash(d *deployment, trouble bool) string {
	only := d.sides[4].worker
	only.labels[0] = "b"
	d.apply(1, newRoute("unlock", 0, 4), newRoute("lockerwatch", 0, 4))
	d.begin()
	const id = "5e77100000000003"
	d.submit("lockerwatch", id, 0, job{Spec: "watch the doors", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimateMS: 1000, Constraints: "b", LongRunning: true}}})
	time.Sleep(8 * time.Second)
	for range 6 {
		if trouble {
			only.crash()
			time.Sleep(3 * time.Second)
			only.start()
		}
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	if s := d.state("lockerwatch", id); s != "running" && s != "queued" {
		return fmt.Sprintf("LOST: the lasting job, which nobody has cancelled and of which no run has ended failed, is shown as %q", s)
	}
	return ""
}

// playPending loses all side machines for a while; a front machine that is in touch is asked how many
// accepted jobs wait.
func playPending(d *deployment, trouble bool) string {
	d.apply(1, newRoute("unlock", 0, 4), newRoute("settle", 2, 2))
	d.begin()
	if trouble {
		for _, m := range d.sides {
			d.kill(m)
		}
	}
	time.Sleep(2 * time.Second)
	const jobs = 10
	for n := range jobs {
		d.submit("settle", fmt.Sprintf("5e7710000000010%x", n), time.Second, job{Spec: "settle", Steps: []step{{Count: 2, CPU: 7000, MemMB: 1000, EstimateMS: 1000}}})
	}
	// visible_ms + 2 s, and half a second more.
	time.Sleep(5500 * time.Millisecond)
	broken := ""
	for _, m := range d.fronts {
		waiting := 0
		for n := range jobs {
			if len(d.startsOf(fmt.Sprintf("5e7710000000010%x", n))) == 0 {
				waiting++
			}
		}
		status, fields := d.call(m, "GET", "/settle/", nil)
		pending, ok := fields["pending"].(float64)
		record("%d jobs were accepted over visible_ms + 2 s before and have not begun", waiting)
		if status == 200 && ok && pending < float64(waiting)/2 {
			broken = fmt.Sprintf("MIXED: %s, in touch, gives %v as pending while %d accepted jobs have not begun", m.name, pending, waiting)
		}
	}
	if trouble {
		for _, m := range d.sides {
			d.start(m)
		}
		time.Sleep(8 * time.Second)
	}
	return broken
}

// playDrain lets a worker stall, and drain meanwhile.
func playDrain(d *deployment, trouble bool) string {
	only := d.sides[4].worker
	only.labels[0] = "b"
	d.apply(1, newRoute("unlock", 0, 4), newRoute("settle", 2, 2))
	d.begin()
	resume := func() {}
	if trouble {
		resume = only.hang()
	}
	const id = "5e77100000000005"
	d.submit("unlock", id, time.Second, job{Spec: "unlock", Steps: []step{{Count: 1, CPU: 1000, MemMB: 1000, EstimateMS: 800, Constraints: "b"}}})
	time.Sleep(500 * time.Millisecond)
	acknowledged := only.drain(12 * time.Second)
	time.Sleep(4 * time.Second)
	resume()
	time.Sleep(4 * time.Second)
	for _, s := range d.startsOf(id) {
		if late := s.at.Sub(acknowledged); late > 2*time.Second {
			return fmt.Sprintf("DRAIN: a task was started on %s %s after it was acknowledged that the worker is draining", s.worker, late.Round(time.Millisecond))
		}
	}
	return ""
}
