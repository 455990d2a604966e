package kqflowdemo

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqtable"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

const (
	faultInterval  = 1500 * time.Millisecond
	outageDuration = 3 * time.Second // of the store
)

// faultSequence injects each fault once while flows run.
type faultSequence struct {
	tomb tomb.Tomb
	demo *demo
}

func (f *faultSequence) run(ctx context.Context) error {
	d := f.demo
	kqtable.Sleep(ctx, faultInterval)
	if m := d.cell.Owner(); m != nil {
		d.logf("fault: owner %s is killed", m.Name())
		m.Kill()
		kqtable.Sleep(ctx, faultInterval)
		if err := m.Start(); err != nil {
			return err
		}
	}
	m := d.cell.Agents[len(d.cell.Agents)-1]
	d.logf("fault: the worker of %s is restarted", m.Name())
	m.Host.Restart(m.Name())
	kqtable.Sleep(ctx, faultInterval)
	d.logf("fault: the store is unavailable for %s", outageDuration)
	d.cell.Store.SetFaults("", kqrowstore.Faults{Refuse: true})
	kqtable.Sleep(ctx, outageDuration)
	d.cell.Store.ClearFaults()
	return nil
}
