package main

import (
	"fmt"
	"time"
)

func init() {
	cases["drain"] = playDrain
	cases["advice"] = playAdvice
	cases["denied"] = playDenied
	cases["rack"] = playRack
	cases["trial"] = playTrial
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

// withAdvice returns a route whose queue has advice.
func (d *deployment) withAdvice(r route, p policy, allows func(worker string) bool) route {
	r.Advice = &p
	d.advice.policy, d.advice.allows = p, allows
	return r
}

// playAdvice hands in a larger job in a queue with advice: a step whose tasks need ten workers.
func playAdvice(d *deployment, trouble bool) string {
	d.apply(1, newRoute("unlock", 0, 4), d.withAdvice(newRoute("settle", 0, 2), policy{1000, 700, 20_000}, func(string) bool { return true }))
	d.begin()
	const id = "5e77100000000006"
	count := 2
	if trouble {
		count = 10
	}
	d.submit("settle", id, time.Second, job{Spec: "settle the takings", Steps: []step{{Count: count, CPU: 1000, MemMB: 1000, EstimateMS: 1000, PerWorker: 1}}})
	time.Sleep(40 * time.Second)
	state := d.state("settle", id)
	if n := len(d.startsOf(id)); n == 0 {
		return fmt.Sprintf("LOST: 40 s after it was accepted the job is %q and none of its %d tasks has been started, with 11 idle workers, all of which its policy allows", state, count)
	}
	return ""
}

// playDenied lets a worker fail two of the three runs of a step in a queue whose policy allows this worker
// and one other.
func playDenied(d *deployment, trouble bool) string {
	first, other := d.sides[0].worker, d.sides[5].worker
	d.apply(1, newRoute("unlock", 0, 4), d.withAdvice(newRoute("settle", 0, 2), policy{1500, 50, 60_000}, func(worker string) bool {
		return worker == first.id || worker == other.id
	}))
	d.begin()
	if trouble {
		grey := time.Now().Add(6500 * time.Millisecond)
		record("worker %s fails part of what it starts, for 6.5 s", first.id)
		first.fails = func(task string) time.Duration {
			if time.Now().After(grey) || task[len(task)-1] == '0' {
				return 0
			}
			return 1200 * time.Millisecond
		}
	}
	const id = "5e77100000000007"
	d.submit("settle", id, time.Second, job{Spec: "settle the takings", Steps: []step{{Count: 3, CPU: 1000, MemMB: 1000, EstimateMS: 1000}}})
	time.Sleep(40 * time.Second)
	state := d.state("settle", id)
	if state != "completed" {
		return fmt.Sprintf("LOST: 40 s after it was accepted the job is %q, with %d starts in all, and two idle workers that its policy allows", state, len(d.startsOf(id)))
	}
	return ""
}

// playRack loses a worker of the only rack on which a gang has room.
func playRack(d *deployment, trouble bool) string {
	for _, n := range []int{0, 1, 2, 3, 4, 6, 7} {
		d.sides[n].worker.labels[0] = "b"
	}
	d.apply(1, newRoute("unlock", 0, 4), newRoute("settle", 0, 2))
	d.begin()
	if trouble {
		d.sides[1].worker.crash()
	}
	time.Sleep(5 * time.Second)
	const id = "5e77100000000008"
	d.submit("settle", id, 100*time.Second, job{Spec: "settle the takings", Steps: []step{{Count: 3, CPU: 60_000, MemMB: 1000, EstimateMS: 100_000, Constraints: "b", Gang: true, SameRack: true}}})
	time.Sleep(30 * time.Second)
	state := d.state("settle", id)
	if len(d.startsOf(id)) == 0 {
		return fmt.Sprintf("LOST: 30 s after it was accepted the job is %q and has never been started, with six idle workers for its three tasks", state)
	}
	return ""
}

// playTrial lets a worker crash under a task that has just started, and another worker be lost for good
// while it is kept for the next run of that task.
func playTrial(d *deployment, trouble bool) string {
	a, b := d.sides[2].worker, d.sides[4].worker
	a.labels[0], b.labels[0] = "b", "b"
	d.apply(1, newRoute("unlock", 0, 4), newRoute("settle", 0, 4))
	d.begin()
	const large, small = "5e77100000000009", "5e7710000000000a"
	d.submit("settle", large, 12*time.Second, job{Spec: "settle the takings", Steps: []step{{Count: 1, CPU: 56_000, MemMB: 1000, EstimateMS: 12_000, Constraints: "b"}}})
	time.Sleep(2 * time.Second)
	starts := d.startsOf(large)
	if len(starts) == 0 {
		unable("the first job has not been started")
	}
	busy, idle := a, b
	if starts[len(starts)-1].worker == b.id {
		busy, idle = b, a
	}
	d.submit("settle", small, time.Second, job{Spec: "settle the takings", Steps: []step{{Count: 1, CPU: 10_000, MemMB: 1000, EstimateMS: 1000, Constraints: "b"}}})
	for n := 0; len(d.startsOf(small)) == 0; n++ {
		if n == 300 {
			unable("the second job has not been started")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		idle.crash()
		time.Sleep(4 * time.Second)
		idle.start()
		time.Sleep(500 * time.Millisecond)
		busy.crash()
	}
	time.Sleep(45 * time.Second)
	first, second := d.state("settle", large), d.state("settle", small)
	if second != "completed" {
		return fmt.Sprintf("LOST: 45 s after the last disturbance the second job is %q, with %d starts in all, while the first is %q and a worker that fits it is idle", second, len(d.startsOf(small)), first)
	}
	return ""
}
