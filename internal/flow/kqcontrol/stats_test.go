package kqcontrol_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqevent"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqinvariant"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqcontrol"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqflow"
	"github.com/kumquatswitch/kumquatswitch/internal/standin/kqrowstore"
)

// An owner logs its statistics once a second, with the share of a processor that it used.
func TestAnOwnerSaysHowFarItKeepsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var log bytes.Buffer
		logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zapcore.InfoLevel))
		began := time.Now()
		c, err := kqcontrol.Acquire(context.Background(), kqcontrol.Config{Cell: leasesCell, Name: "a", Boot: "a/1", Store: kqrowstore.New(1).Client("a"), Lease: 7 * time.Second,
			Retention: time.Minute, Policy: func() *kqflow.Policy { return &kqflow.Policy{Version: 1} }, Now: time.Now, WallClock: time.Now, Counter: &kqinvariant.Counter{},
			Events:        kqevent.New(kqevent.Config{Process: "a", Logger: logger}),
			ProcessorTime: func() time.Duration { return time.Since(began) / 5 }, ProcessorLimit: 0.24}, kqcontrol.OwnerRow{}, 0, nil)
		g.Expect(err).NotTo(HaveOccurred())
		c.Start()
		time.Sleep(3500 * time.Millisecond)
		p := c.Stats()
		g.Expect(p.ProcessorShare).To(BeNumerically("~", 0.2, 0.01))
		g.Expect(p.ProcessorLimit).To(Equal(0.24))
		g.Expect(p.Passes).To(BeNumerically("~", 20, 2))
		c.Abandon()
		lines := 0
		for d := json.NewDecoder(&log); d.More(); {
			var l struct {
				Event kqevent.Number  `json:"event"`
				Pulse kqcontrol.Stats `json:"pulse"`
			}
			g.Expect(d.Decode(&l)).To(Succeed())
			if l.Event == kqevent.OwnerStats {
				lines++
			}
		}
		g.Expect(lines).To(BeNumerically("~", 3, 1))
	})
}
