package kqexecution_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/seam/kqexecution"
)

// Ids without a time of birth must be stored unchanged, and different incarnations must have
// different texts. Otherwise a stored record could refer to the wrong incarnation.
func TestTheTextOfAnIncarnationNamesIDAndBirth(t *testing.T) {
	g := NewWithT(t)
	born := time.UnixMilli(1_764_843_821_007)
	for _, x := range []struct {
		id   string
		born time.Time
		text kqexecution.Incarnation
	}{
		{"i-03e407284f", time.Time{}, "i-03e407284f"},
		{"i-03e407284f", born, "i-03e407284f@1764843821007"},
		{"10.0.0.1.2", time.Time{}, "10.0.0.1.2"},
		{"a@b", time.Time{}, "a@b"},
		{"a@7", time.Time{}, "a@7@"},
		{"a@", time.Time{}, "a@@"},
		{"a@7", time.UnixMilli(8), "a@7@8"},
		{"a", time.UnixMilli(0), "a@0"},
		{"a", time.UnixMilli(-5), "a"},
		{"", time.Time{}, ""},
	} {
		w := kqexecution.NewIncarnation(x.id, x.born)
		g.Expect(w).To(Equal(x.text))
		g.Expect(w.ID()).To(Equal(x.id))
	}
}

// An earlier incarnation, or one of another worker, must never supersede a later one: its
// messages would end runs of the later incarnation.
func TestOnlyALaterBirthOfTheSameIDFollows(t *testing.T) {
	g := NewWithT(t)
	for _, x := range []struct {
		later, earlier kqexecution.Incarnation
		want           bool
	}{
		{"a@8", "a@7", true}, {"a@7", "a@8", false}, {"a@7", "a@7", false}, {"a@10", "a@9", true},
		{"b@8", "a@7", false}, {"a@7", "a", true}, {"a", "a@7", false}, {"a", "a", false}, {"a@7", "", false}, {"", "a@7", false},
		{"a@99999999999999999999", "a@7", false},
	} {
		g.Expect(x.later.Supersedes(x.earlier)).To(Equal(x.want), "%s after %s", x.later, x.earlier)
	}
}

// FuzzIncarnation checks that the id and the time of birth are read back unchanged from the
// text of an incarnation.
func FuzzIncarnation(f *testing.F) {
	f.Add("i-1", int64(5))
	f.Add("i@5", int64(-1))
	f.Add("i@", int64(0))
	f.Add("@", int64(1<<62))
	f.Fuzz(func(t *testing.T, id string, ms int64) {
		w := kqexecution.NewIncarnation(id, time.UnixMilli(ms))
		born, ok := w.Born()
		if w.ID() != id || ok != (ms >= 0) || ok && born.UnixMilli() != ms {
			t.Errorf("id %q and birth %d ms are read back as %q and %v", id, ms, w.ID(), born)
		}
		none := kqexecution.NewIncarnation(id, time.Time{})
		if _, ok := none.Born(); ok || none.ID() != id || none == w && ms >= 0 {
			t.Errorf("id %q without a birth is read back as %q", id, none)
		}
	})
}
