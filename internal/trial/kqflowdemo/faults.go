package kqflowdemo

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const (
	faultEvery = 1500 * time.Millisecond
	outage     = 3 * time.Second
)

// faults has each fault once, while flows run.
type faults struct {
	tomb tomb.Tomb
	demo *demo
}

func (f *faults) run(ctx context.Context) error {
	d := f.demo
	kqtable.Sleep(ctx, faultEvery)
	if m := d.cell.Owner(); m != nil {
		d.say("kill the owner %s", m.Name())
		m.Kill()
		kqtable.Sleep(ctx, faultEvery)
		if err := m.Start(); err != nil {
			return err
		}
	}
	m := d.cell.Members[len(d.cell.Members)-1]
	d.say("restart the worker of %s", m.Name())
	m.Host.Restart(m.Name())
	kqtable.Sleep(ctx, faultEvery)
	d.say("take the store away for %s", outage)
	d.cell.Store.SetFaults("", kqrowstore.Faults{Refuse: true})
	kqtable.Sleep(ctx, outage)
	d.cell.Store.ClearFaults()
	return nil
}
