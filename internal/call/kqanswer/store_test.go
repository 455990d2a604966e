package kqanswer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kumquatswitch/kumquatswitch/internal/call/kqanswer"
	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
)

func TestAnswers(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "answers kept at the agent", suite, reporter)
}

var ctx = context.Background()

// firstPiece reads the first piece of an answer.
func firstPiece(a *kqanswer.Answer) kqanswer.Piece {
	p, err := a.NewReader(0, false).Next(ctx)
	Expect(err).NotTo(HaveOccurred())
	return p
}

var _ = Describe("a store", func() {
	now := time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)
	var s *kqanswer.Store
	BeforeEach(func() {
		s = kqanswer.NewStore(kqanswer.Config{Retention: 30 * time.Second, WindowBytes: 1 << 10, MaxTotalBytes: 8 << 10})
	})
	// fill adds 40 ended answers of 512 bytes, which exceed the total size of the store.
	fill := func(at time.Time, from int) {
		for i := range 40 {
			id := kqanswer.ID{Call: fmt.Sprint("fill-", from+i), Attempt: 1}
			a, fresh := s.Begin(at, id)
			Expect(fresh).To(BeTrue())
			a.SetHeadAndBody(kqanswer.Head{Status: 200}, make([]byte, 512))
			s.End(at, id, nil)
		}
	}

	It("prevents a forbidden attempt from running although answers were dropped", func() {
		id := kqanswer.ID{Call: "late", Attempt: 1}
		a, seen := s.FindOrForbid(now, id, time.Second)
		Expect(seen).To(BeFalse())
		Expect(firstPiece(a).Failure.Code).To(Equal(kqresult.NotRunUnreachable))
		fill(now, 0)
		fill(now.Add(10*time.Minute), 100)
		late, fresh := s.Begin(now.Add(15*time.Minute), id)
		Expect(fresh).To(BeFalse())
		Expect(firstPiece(late).Failure.Code.NotRun()).To(BeTrue())
	})

	It("does not report not_run for an attempt whose answer it may have dropped", func() {
		id := kqanswer.ID{Call: "dropped", Attempt: 1}
		_, fresh := s.Begin(now, id)
		Expect(fresh).To(BeTrue())
		s.End(now, id, nil)
		fill(now.Add(time.Second), 0)
		a, seen := s.FindOrForbid(now.Add(2*time.Second), id, 2*time.Second)
		Expect(seen).To(BeFalse())
		Expect(firstPiece(a).Failure.Code).To(Equal(kqresult.OutcomeUnknown))
	})

	It("keeps to its total size and its retention time", func() {
		fill(now, 0)
		_, bytes := s.Size()
		Expect(bytes).To(BeNumerically("<=", 8<<10))
		s.Expire(now.Add(31 * time.Second))
		answers, bytes := s.Size()
		Expect(answers).To(BeZero())
		Expect(bytes).To(BeZero())
	})

	It("returns the rest of an answer from an offset, and an error if it is no longer kept", func() {
		id := kqanswer.ID{Call: "large", Attempt: 1}
		a, _ := s.Begin(now, id)
		a.SetHead(kqanswer.Head{Status: 200})
		r := a.NewReader(0, false)
		read := 0
		for range 64 {
			Expect(a.Append(ctx, make([]byte, 256))).To(Succeed())
			p, err := r.Next(ctx)
			Expect(err).NotTo(HaveOccurred())
			read += len(p.Chunk)
		}
		p, err := a.NewReader(uint64(read-512), true).Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Chunk).To(HaveLen(512))
		p, err = a.NewReader(0, true).Next(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Failure.Code).To(Equal(kqresult.AnswerIncomplete))
	})
})
